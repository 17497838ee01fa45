/** Whether a backend server may have executed a request. */
export enum Verdict {
  /** No backend server has received the whole request or will receive it. It is always safe to resend. */
  NotRun = 'not-run',
  /** At least one byte may have been sent to a backend server, and no complete answer was received. */
  MayHaveRun = 'may-have-run',
  /** A backend server has executed the request. */
  Ran = 'ran',
}

/**
 * Whether a router may retry a request without a resend by the caller.
 *
 * @example
 * mayRetry(Verdict.MayHaveRun, false); // false
 */
export function mayRetry(verdict: Verdict, idempotent: boolean): boolean {
  return verdict === Verdict.NotRun || (idempotent && verdict === Verdict.MayHaveRun);
}

/**
 * The verdict on several attempts at one request: the one in which execution is most certain.
 *
 * @example
 * combine(Verdict.NotRun, Verdict.MayHaveRun); // Verdict.MayHaveRun
 */
export function combine(left: Verdict, right: Verdict): Verdict {
  return ORDER.indexOf(left) >= ORDER.indexOf(right) ? left : right;
}

const ORDER = [Verdict.NotRun, Verdict.MayHaveRun, Verdict.Ran];
