const UUID_VERSION_7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

const TIME_HEXADECIMAL_DIGITS = 12;

/**
 * The creation time of a UUID version 7 in milliseconds since the Unix epoch (RFC 9562, section 5.7: the
 * first 48 bits), or `undefined` for any other key.
 *
 * @example
 * of('017f22e2-79b0-7cc3-98c4-dc0c0c07398f'); // 1645557742000
 */
export function of(key: string): number | undefined {
  return UUID_VERSION_7.test(key)
    ? Number.parseInt(key.replace(/-/g, '').slice(0, TIME_HEXADECIMAL_DIGITS), 16)
    : undefined;
}
