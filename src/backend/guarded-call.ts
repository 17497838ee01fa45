import * as results from 'ts-results';
import * as logging from '../logging';
import * as verdict from '../verdict';

/**
 * Makes a call and turns an exception into a failure with a log line, so that its caller can release what the call
 * used and make it again. The returned promise never rejects.
 *
 * @param serverId the server that is called, for the log
 * @example
 * const outcome = await guardedCall('i-1', () => client.probe());
 */
export async function guardedCall<Value>(
  serverId: string,
  call: () => Promise<results.Result<Value, verdict.RequestFailure>>,
): Promise<results.Result<Value, verdict.RequestFailure>> {
  try {
    return await call();
  } catch (error) {
    logger.warning('call ended with an exception', {
      backendServer: serverId,
      reason: String(error),
    });
    return new results.Err(
      verdict.failure(
        verdict.FailureReason.Internal,
        verdict.Verdict.MayHaveRun,
        'The call to the backend server ended with an internal error.',
        { backendServerId: serverId },
      ),
    );
  }
}

const logger = new logging.Logger('backend');
