import * as immutable from 'immutable';
import * as configuration from '../configuration';
import * as transaction from '../transaction';
import * as verdict from '../verdict';
import * as effect from './effect';
import * as event from './event';
import type * as state from './state';
import { Step } from './step';

type DecisionTransaction = transaction.Transaction<state.DecisionState, effect.DecisionEffect>;

/**
 * Decides what follows from an event. Pure: the same state and event give the same transaction.
 *
 * @example
 * const { state, effects } = update(initialState(options), { kind: DecisionEventKind.Tick, at: 20 });
 */
export function update(
  start: state.DecisionState,
  given: event.DecisionEvent,
): DecisionTransaction {
  const step = new Step(start, given.at);
  apply(step, given);
  dispatchQueued(step, given.at);
  return step.transaction();
}

function apply(step: Step, given: event.DecisionEvent): void {
  switch (given.kind) {
    case event.DecisionEventKind.ConfigurationChanged:
      applyConfiguration(step, given);
      break;
    case event.DecisionEventKind.ServersChanged:
      applyServers(step, given);
      break;
    case event.DecisionEventKind.RequestArrived:
      enqueueArrival(step, given);
      break;
    case event.DecisionEventKind.PieceReceived:
      recordPiece(step, given);
      break;
    case event.DecisionEventKind.AttemptFinished:
      finish(step, given);
      break;
    case event.DecisionEventKind.AttemptFailed:
      retryOrFail(step, given);
      break;
    case event.DecisionEventKind.RequestCancelled:
      remove(step, given.requestId);
      break;
    case event.DecisionEventKind.Tick:
      expire(step, given.at);
      break;
    default:
  }
}

function applyConfiguration(step: Step, given: event.ConfigurationChanged): void {
  const services = [...given.snapshot.documents.values()].flatMap((document) =>
    document.kind === configuration.DocumentKind.Service ? [document] : [],
  );
  step.change({
    services: immutable.Map(services.map((service) => [service.name, service])),
  });
}

function applyServers(step: Step, given: event.ServersChanged): void {
  const listed = immutable.Map(
    given.servers.map((record) => {
      const inFlight = step.state.servers.get(record.id)?.inFlight ?? 0;
      return [record.id, { record, eligible: true, inFlight }];
    }),
  );
  const draining = step.state.servers
    .filter((server, id) => server.inFlight > 0 && !listed.has(id))
    .map((server) => ({ ...server, eligible: false }));
  step.change({ servers: draining.merge(listed) });
}

function enqueueArrival(step: Step, given: event.RequestArrived): void {
  const { profile } = given;
  const request: state.RequestState = {
    profile,
    arrivedAt: given.at,
    attempts: [],
    attemptCount: 0,
    verdict: verdict.Verdict.NotRun,
    nextPiece: 0,
    failedServers: [],
  };
  step.change({ requests: step.state.requests.set(profile.requestId, request) });
  enqueue(step, request);
}

function enqueue(step: Step, request: state.RequestState): void {
  const { service, requestId } = request.profile;
  const queue = step.state.queues.get(service, immutable.List<string>()).push(requestId);
  step.change({ queues: step.state.queues.set(service, queue) });
}

function findAttempt(step: Step, requestId: string, attemptId: string) {
  return step.state.requests
    .get(requestId)
    ?.attempts.find((attempt) => attempt.attemptId === attemptId);
}

function recordPiece(step: Step, given: event.PieceReceived): void {
  const request = step.state.requests.get(given.requestId);
  if (request === undefined || !findAttempt(step, given.requestId, given.attemptId)) {
    return;
  }
  step.change({
    requests: step.state.requests.set(given.requestId, { ...request, nextPiece: given.nextPiece }),
  });
}

function finish(step: Step, given: event.AttemptFinished): void {
  const attempt = findAttempt(step, given.requestId, given.attemptId);
  if (attempt !== undefined) {
    release(step, given.requestId, attempt);
    remove(step, given.requestId);
  }
}

function retryOrFail(step: Step, given: event.AttemptFailed): void {
  const attempt = findAttempt(step, given.requestId, given.attemptId);
  if (attempt === undefined) {
    return;
  }
  release(step, given.requestId, attempt);
  const request = step.state.requests.get(given.requestId)!;
  const combined = verdict.combine(request.verdict, given.failure.verdict);
  const failed: state.RequestState = {
    ...request,
    verdict: combined,
    failedServers: [...request.failedServers, attempt.serverId],
  };
  step.change({ requests: step.state.requests.set(given.requestId, failed) });
  const mayRetry = verdict.mayRetry(combined, request.profile.idempotent);
  if (mayRetry && request.attemptCount < MAXIMUM_ATTEMPTS) {
    enqueue(step, failed);
  } else {
    fail(step, failed, { ...given.failure, verdict: combined });
  }
}

function fail(step: Step, request: state.RequestState, failure: verdict.RequestFailure): void {
  const { requestId } = request.profile;
  remove(step, requestId);
  step.emit({ kind: effect.DecisionEffectKind.Fail, requestId, failure });
}

/** Forgets a request, after cancelling what still runs of it. */
function remove(step: Step, requestId: string): void {
  const request = step.state.requests.get(requestId);
  request?.attempts.forEach((attempt) => {
    release(step, requestId, attempt);
    const { attemptId } = attempt;
    step.emit({ kind: effect.DecisionEffectKind.CancelAttempt, requestId, attemptId });
  });
  step.change({ requests: step.state.requests.delete(requestId) });
}

function release(step: Step, requestId: string, ended: state.AttemptState): void {
  const request = step.state.requests.get(requestId)!;
  const attempts = request.attempts.filter((attempt) => attempt !== ended);
  const server = step.state.servers.get(ended.serverId);
  step.change({
    requests: step.state.requests.set(requestId, { ...request, attempts }),
    servers:
      server === undefined
        ? step.state.servers
        : step.state.servers.set(ended.serverId, { ...server, inFlight: server.inFlight - 1 }),
  });
}

function expire(step: Step, at: number): void {
  step.state.queues.forEach((queue) => {
    queue.forEach((requestId) => {
      const request = step.state.requests.get(requestId);
      if (request !== undefined && at > request.profile.firstTokenDeadline) {
        fail(
          step,
          request,
          verdict.failure(
            verdict.FailureReason.DeadlineUnreachable,
            request.verdict,
            'The request waited in the queue until its deadline passed.',
            { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS },
          ),
        );
      }
    });
  });
}

function dispatchQueued(step: Step, at: number): void {
  step.state.queues.forEach((queue, service) => {
    let rest = queue;
    while (!rest.isEmpty()) {
      const request = step.state.requests.get(rest.first()!);
      if (request !== undefined) {
        const server = choose(step, request);
        if (server === undefined) {
          break;
        }
        dispatch(step, request, server, at);
      }
      rest = rest.shift();
    }
    step.change({ queues: step.state.queues.set(service, rest) });
  });
}

/** The eligible server with a free slot and the fewest requests of this daemon. */
function choose(step: Step, request: state.RequestState): state.ServerState | undefined {
  const slots = step.state.services.get(request.profile.service)?.slotsPerRunner ?? 0;
  return step.state.servers
    .valueSeq()
    .filter(
      (server) =>
        server.eligible &&
        server.record.service === request.profile.service &&
        server.inFlight < slots,
    )
    .minBy((server) => {
      const failedBefore = request.failedServers.includes(server.record.id);
      return server.inFlight + (failedBefore || server.record.suspected ? slots : 0);
    });
}

function dispatch(
  step: Step,
  request: state.RequestState,
  server: state.ServerState,
  at: number,
): void {
  const { requestId } = request.profile;
  const serverId = server.record.id;
  const attemptId = `${requestId}/${request.attemptCount}`;
  const attempt = { attemptId, serverId, dispatchedAt: at, hedge: false };
  step.change({
    requests: step.state.requests.set(requestId, {
      ...request,
      attempts: [...request.attempts, attempt],
      attemptCount: request.attemptCount + 1,
    }),
    servers: step.state.servers.set(serverId, { ...server, inFlight: server.inFlight + 1 }),
  });
  step.emit({
    kind: effect.DecisionEffectKind.Dispatch,
    requestId,
    attemptId,
    serverId,
    resumeFrom: request.nextPiece,
    hedge: false,
    queuedMilliseconds: at - request.arrivedAt,
    expectedCachedTokens: 0,
  });
}

const MAXIMUM_ATTEMPTS = 4;
const RETRY_AFTER_MILLISECONDS = 1_000;
