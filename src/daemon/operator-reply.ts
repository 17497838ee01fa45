import * as command from '../command';

/** Status and JSON body of an answer to an operator. */
export interface OperatorReply {
  readonly status: number;
  readonly body: object;
}

/** Reply to a successful request. */
export function success(body: object): OperatorReply {
  return { status: 200, body };
}

/**
 * Reply to a failed request.
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
