import * as configuration from '../configuration';
import * as verdict from '../verdict';
import * as ending from './ending';
import * as attemptFailure from './attempt-failure';
import type * as state from './state';
import type * as steps from './step';
import * as weightsFilter from './weights-filter';

/**
 * Load pattern: a request that was sent before its engine's weights were too old waits there, for memory or
 * behind long prompts, and begins on them too late. Such streams are taken back; those that may run again go
 * to another engine, within the retry budget.
 */
export function cancelObsoleteAttempts(step: steps.Step): void {
  step.state.services.forEach((service) => {
    const minimum = minimumStartOf(service);
    if (minimum !== undefined) {
      [...step.state.requests.values()]
        .filter(({ profile }) => profile.service === service.name && profile.isStreamed === true)
        .forEach((request) => takeBack(step, request, minimum));
    }
  });
}

function takeBack(step: steps.Step, request: state.RequestState, minimum: number): void {
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
        ending.cancel(step, current, attempt);
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
