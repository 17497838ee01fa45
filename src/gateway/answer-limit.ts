/**
 * Time limit of a connection for an answer whose request ends by itself at its deadline. The limit ends later: a connection that
 * fails first would count as a failure of its server, and the request would be sent to another one in its last millisecond.
 *
 * @param remainingMilliseconds time until the deadline
 * @example
 * answerLimitMilliseconds(5_000); // 5_100
 */
export function answerLimitMilliseconds(remainingMilliseconds: number): number {
  return Math.max(1, remainingMilliseconds) + MARGIN_MILLISECONDS;
}

/** Above the lateness of timers. */
const MARGIN_MILLISECONDS = 100;
