import * as exitCode from './exit-code';
import * as operatorApi from './operator-api';
import * as operatorClient from './operator-client';
import * as outcome from './outcome';

/** The outcome of a read-only command whose request failed. */
export function ofFailure(failure: operatorClient.ClientFailure): outcome.Outcome {
  return outcome.failure(exitCodeOf(failure), [failure.message, ...failure.problems]);
}

function exitCodeOf(failure: operatorClient.ClientFailure): exitCode.ExitCode {
  if (failure.kind !== operatorClient.ClientFailureKind.Refused) {
    return exitCode.ExitCode.Unreachable;
  }
  switch (failure.code) {
    case operatorApi.OperatorErrorCode.Unauthorized:
      return exitCode.ExitCode.Unauthorized;
    case operatorApi.OperatorErrorCode.Invalid:
      return exitCode.ExitCode.InvalidConfiguration;
    default:
      return exitCode.ExitCode.Refused;
  }
}
