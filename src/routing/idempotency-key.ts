import * as configuration from '../configuration';

/**
 * Whether a key has the format that its route demands. A UUID version 7 begins with its creation time
 * (RFC 9562, section 5.7), which lets the control state refuse a resend after the retention period.
 *
 * @example
 * isValidKey('0190163d-8694-739b-aea5-966c26f8ad91', KeyFormat.UuidVersion7); // true
 */
export function isValidKey(key: string, format: configuration.KeyFormat): boolean {
  return format === configuration.KeyFormat.UuidVersion7
    ? UUID_VERSION_7.test(key)
    : OPAQUE_KEY.test(key);
}

const UUID_VERSION_7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

// Visible ASCII characters, at most as many as common payment interfaces accept.
const OPAQUE_KEY = /^[\x21-\x7e]{1,255}$/;
