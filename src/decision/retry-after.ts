/**
 * Milliseconds after which a caller may send a refused request again, within the limits below.
 *
 * @param milliseconds time after which the request would probably be served
 * @example
 * retryAfterMilliseconds(45_000); // 30_000
 */
export function retryAfterMilliseconds(milliseconds: number): number {
  return Math.round(
    Math.min(
      MAXIMUM_RETRY_AFTER_MILLISECONDS,
      Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, milliseconds),
    ),
  );
}

const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 30_000;
