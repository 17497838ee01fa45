/** What the status of a head says of the answer. */
export enum AnswerKind {
  /** The answer is still to come. */
  Interim = 'interim',
  /** The head begins the answer. */
  Final = 'final',
  /** No status of HTTP, or a change of protocol that nobody has asked for: the bytes are no answer. */
  Malformed = 'malformed',
}

/**
 * Determines what kind of answer a status stands for (RFC 9110, section 15). Every reader of answers asks it, so that no status
 * is an answer at one place and none at another.
 *
 * @param status the number of the status line, such as 0 for `000`
 * @example
 * answerKind(103); // AnswerKind.Interim
 * answerKind(503); // AnswerKind.Final
 * answerKind(0); // AnswerKind.Malformed
 */
export function answerKind(status: number): AnswerKind {
  if (status >= FIRST_FINAL_STATUS && status <= LAST_STATUS) {
    return AnswerKind.Final;
  }
  const isInterim = status >= FIRST_STATUS && status < FIRST_FINAL_STATUS;
  return isInterim && status !== SWITCHING_PROTOCOLS ? AnswerKind.Interim : AnswerKind.Malformed;
}

const FIRST_STATUS = 100;
const SWITCHING_PROTOCOLS = 101;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
