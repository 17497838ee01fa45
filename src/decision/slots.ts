import * as admission from '../admission';
import * as placement from '../placement';
import type * as state from './state';
import type * as steps from './step';

/** Adds an attempt to the load of its server. */
export function occupy(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
): void {
  count(step, request, attempt, 1);
}

/** Subtracts what `occupy` added. An idle server that is no longer listed leaves the state. */
export function release(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
): void {
  count(step, request, attempt, -1);
  const server = step.state.servers.get(attempt.serverId);
  if (server !== undefined && !server.eligible && server.load.own.requests <= 0) {
    const { service } = server.record;
    const rest = step.state.pools.get(service)!.filter((id) => id !== attempt.serverId);
    step.change({
      servers: step.state.servers.delete(attempt.serverId),
      pools: step.state.pools.set(service, rest),
    });
  }
}

/** Subtracts the prefill of an attempt when its first piece arrives. */
export function endPrefill(step: steps.Step, attempt: state.AttemptState): void {
  const server = step.state.servers.get(attempt.serverId);
  if (server !== undefined && attempt.prefillTokens > 0) {
    const delta = { requests: 0, prefillTokens: -attempt.prefillTokens };
    step.setServer({
      ...server,
      load: placement.changeOwnLoad(server.load, delta, false, step.at),
    });
  }
}

function count(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
  sign: number,
): void {
  const server = step.state.servers.get(attempt.serverId);
  if (server === undefined) {
    return;
  }
  const { promptTokens, expectedOutputTokens } = request.profile;
  const delta = {
    requests: sign,
    prefillTokens: sign * attempt.prefillTokens,
    memoryTokens: sign * (promptTokens + expectedOutputTokens),
  };
  const long = request.lane === admission.Lane.Long;
  step.setServer({
    ...server,
    load: placement.changeOwnLoad(server.load, delta, long, step.at),
    suspectAttempts: server.suspectAttempts + (attempt.suspect ? sign : 0),
  });
}
