import * as configuration from '../configuration';

/**
 * Whether a key has the format that its route requires. A UUID version 7 begins with its creation time
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

/**
 * The canonical form of a valid key, which is claimed. The hexadecimal digits of a UUID may be written in either case
 * (RFC 9562, section 4), so two spellings of one UUID must claim the same key.
 *
 * @example
 * canonicalKey('0190163D-8694-739B-AEA5-966C26F8AD91', KeyFormat.UuidVersion7); // lower case
 */
export function canonicalKey(key: string, format: configuration.KeyFormat): string {
  return format === configuration.KeyFormat.UuidVersion7 ? key.toLowerCase() : key;
}

const UUID_VERSION_7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

// Visible ASCII characters; common payment APIs accept up to 255.
const OPAQUE_KEY = /^[\x21-\x7e]{1,255}$/;
