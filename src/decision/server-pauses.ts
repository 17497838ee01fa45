import * as immutable from 'immutable';
import type * as event from './event';
import * as serviceTiming from './service-timing';
import type * as state from './state';
import type * as steps from './step';

/**
 * Monotonic time in milliseconds until which a server wants no request of this daemon, by the run of its process. A mark that
 * belongs to one run needs no removal when the server starts again, and an answer of an earlier run that arrives late marks
 * nothing else.
 */
export type ServerPauses = immutable.Map<string, number>;

export const NO_SERVER_PAUSES: ServerPauses = immutable.Map();

/** Records a pause; the longest of several counts. */
export function applyPause(step: steps.Step, paused: event.ServerPaused): void {
  const { serverId, pauseMilliseconds } = paused;
  const incarnation = paused.incarnation ?? step.state.servers.get(serverId)?.incarnation;
  const key = keyOf(serverId, incarnation);
  const endsAt = Math.max(step.at + pauseMilliseconds, step.state.serverPauses.get(key, -Infinity));
  prune(step);
  step.change({ serverPauses: step.state.serverPauses.set(key, endsAt) });
}

/** Assigns a pause of a server whose run was unknown to the first run that is observed. */
export function bindPause(step: steps.Step, serverId: string, incarnation: string): void {
  const { serverPauses } = step.state;
  const endsAt = serverPauses.get(keyOf(serverId, undefined));
  if (endsAt !== undefined) {
    const unbound = serverPauses.delete(keyOf(serverId, undefined));
    step.change({ serverPauses: unbound.set(keyOf(serverId, incarnation), endsAt) });
  }
}

/** Removes pauses that have ended. */
export function prune(step: steps.Step): void {
  const { serverPauses } = step.state;
  const remaining = serverPauses.filter((endsAt) => endsAt > step.at);
  if (remaining.size < serverPauses.size) {
    step.change({ serverPauses: remaining });
  }
}

/** The servers that take requests now; the same array if none of them pauses. */
export function withoutPaused(
  step: steps.Step,
  servers: readonly state.ServerState[],
): readonly state.ServerState[] {
  const { serverPauses } = step.state;
  if (serverPauses.isEmpty()) {
    return servers;
  }
  return step.memoize('unpaused', [servers, serverPauses], () => {
    const unpaused = servers.filter((server) => endOf(step, server) <= step.at);
    return unpaused.length === servers.length ? servers : unpaused;
  });
}

/** Whether a pause has ended after the given time, so that requests may have a server again. */
export function hasEndedSince({ state, at }: steps.Step, since: number): boolean {
  return state.serverPauses.some((endsAt) => endsAt > since && endsAt <= at);
}

/**
 * Milliseconds until the first of the servers takes requests; 0 if one takes them now. One that loads weights is left out while
 * another one only pauses, since nobody knows when the loading ends.
 */
export function waitMilliseconds(step: steps.Step, servers: readonly state.ServerState[]): number {
  const ends = servers.map((server) => endOf(step, server));
  if (ends.every((endsAt) => endsAt <= step.at)) {
    return 0;
  }
  const usable = ends.filter((_, index) => servers[index].loadingSince === undefined);
  return Math.max(0, Math.min(...(usable.length > 0 ? usable : ends)) - step.at);
}

/** Whether a server takes requests now, by its pauses and its weights. */
export function isUsable(step: steps.Step, server: state.ServerState): boolean {
  return server.loadingSince === undefined && !isPaused(step, server);
}

export function isPaused(step: steps.Step, server: state.ServerState): boolean {
  return endOf(step, server) > step.at;
}

/** Milliseconds for which a request may wait before it starts at a server and is still served in time. */
export function affordableMilliseconds(step: steps.Step, request: state.RequestState): number {
  const { service, answerDeadline = Infinity, firstTokenDeadline } = request.profile;
  const { firstPieceMilliseconds } = serviceTiming.of(step, service);
  const latest =
    request.nextPiece > 0 ? answerDeadline : Math.min(firstTokenDeadline, answerDeadline);
  return latest - firstPieceMilliseconds - step.at;
}

/**
 * Monotonic time in milliseconds at which the pause of a server ends; `-Infinity` if it has none. While its run is unknown, as
 * after a list that lacked it, the pauses of all its runs count.
 */
function endOf({ state }: steps.Step, { record, incarnation }: state.ServerState): number {
  const { serverPauses } = state;
  if (incarnation !== undefined || serverPauses.isEmpty()) {
    return serverPauses.get(keyOf(record.id, incarnation), -Infinity);
  }
  const prefix = keyOf(record.id);
  return serverPauses.reduce(
    (latest, endsAt, key) => (key.startsWith(prefix) ? Math.max(latest, endsAt) : latest),
    -Infinity,
  );
}

function keyOf(serverId: string, incarnation = ''): string {
  return `${serverId}/${incarnation}`;
}
