import * as crypto from 'node:crypto';

/**
 * Creates a UUID version 7 (RFC 9562, section 5.7) with a creation time in milliseconds since the Unix epoch.
 *
 * @example
 * newKey(Date.now()); // '0190163d-8694-739b-aea5-966c26f8ad91'
 */
export function newKey(nowMilliseconds: number): string {
  const time = nowMilliseconds.toString(16).padStart(12, '0');
  const random = crypto.randomBytes(10).toString('hex');
  const variant = '89ab'[crypto.randomInt(4)];
  return [
    time.slice(0, 8),
    time.slice(8),
    `7${random.slice(0, 3)}`,
    `${variant}${random.slice(3, 6)}`,
    random.slice(6, 18),
  ].join('-');
}
