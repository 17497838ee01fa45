import * as command from '../command';

/** Status and JSON body of an answer to an operator. */
export interface OperatorReply {
  readonly status: number;
  readonly body: object;
}

/** An answer that carries what was asked for. */
export function success(body: object): OperatorReply {
  return { status: 200, body };
}

/**
 * An answer that explains a failure.
 *
 * @example
 * failure(OperatorErrorCode.Invalid, 'The documents contradict each other.', problems);
 */
export function failure(
  code: command.OperatorErrorCode,
  message: string,
  problems: readonly string[] = [],
): OperatorReply {
  return { status: command.ERROR_STATUS[code], body: { code, message, problems } };
}
