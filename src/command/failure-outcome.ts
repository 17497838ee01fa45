import * as exitCode from './exit-code';
import * as operatorApi from './operator-api';
import * as operatorClient from './operator-client';
import * as outcome from './outcome';

/** The outcome of a command that only reads, after its request failed. */
export function ofFailure(failure: operatorClient.ClientFailure): outcome.Outcome {
  return outcome.failure(codeOf(failure), [failure.message, ...failure.problems]);
}

function codeOf(failure: operatorClient.ClientFailure): exitCode.ExitCode {
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
