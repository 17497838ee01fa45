import * as configuration from '../configuration';
import * as verdict from '../verdict';
import * as effect from './effect';
import * as ending from './ending';
import * as attemptFailure from './attempt-failure';
import type * as state from './state';
import type * as steps from './step';
import * as weightsFilter from './weights-filter';

/**
 * Cancels streams that have not started when the weights of their engine become too old.
 *
 * Load pattern: a request is sent while the weights are recent enough, waits in the engine for memory or
 * behind long prompts, and starts after the weights became too old. A cancelled request that may run again
 * goes to another engine, within the retry budget.
 */
export function cancelObsoleteAttempts(step: steps.Step): void {
  step.state.services.forEach((service) => {
    const minimum = minimumStartOf(service);
    if (minimum !== undefined) {
      [...step.state.requests.values()]
        .filter(({ profile }) => profile.service === service.name && profile.isStreamed === true)
        .forEach((request) => cancelObsolete(step, request, minimum));
    }
  });
}

function cancelObsolete(step: steps.Step, request: state.RequestState, minimum: number): void {
  request.attempts
    .filter((attempt) => attempt.lastPieceAt === undefined)
    .filter(({ serverId }) => {
      const server = step.state.servers.get(serverId);
      return (
        server !== undefined && weightsFilter.isObsolete(server.record.weightsVersion, minimum)
      );
    })
    .forEach((attempt) => {
      const current = step.state.requests.get(request.profile.requestId);
      if (current !== undefined) {
        ending.cancel(step, current, attempt, effect.CancelReason.WeightsTooOld);
        attemptFailure.continueAfterFailure(step, current, attempt, WEIGHTS_TOO_OLD);
      }
    });
}

function minimumStartOf(service: configuration.ServiceDocument): number | undefined {
  return service.type === configuration.ServiceType.ModelEngine &&
    service.minimumStartWeightsVersion !== undefined
    ? Number(service.minimumStartWeightsVersion)
    : undefined;
}

const WEIGHTS_TOO_OLD = verdict.failure(
  verdict.FailureReason.BackendLeaving,
  verdict.Verdict.MayHaveRun,
  'The request had not begun when the weights of the backend server became too old.',
);
