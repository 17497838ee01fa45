import type * as event from './event';
import * as membershipView from './membership-view';
import * as serverChange from './server-change';

/** Records until when a server wants nothing of this daemon; the longest pause counts. A late answer of an earlier run does not. */
export function pause(
  server: membershipView.ServerState,
  { at, pauseMilliseconds, incarnation = server.incarnation }: event.Paused,
): serverChange.ServerChange {
  const isOfThisRun = server.incarnation === undefined || incarnation === server.incarnation;
  const pausedUntil = Math.max(server.pausedUntil ?? 0, at + pauseMilliseconds);
  return serverChange.unchanged(isOfThisRun ? { ...server, pausedUntil } : server);
}

/** Whether a server wants nothing of this daemon now. */
export function isPaused({ pausedUntil = 0 }: membershipView.ServerState, at: number): boolean {
  return at < pausedUntil;
}

/** Monotonic time in milliseconds of the next probe. Only a server that may be dead is probed while it pauses. */
export function probeDueAt({
  condition,
  nextProbeAt,
  pausedUntil = 0,
}: membershipView.ServerState): number {
  return condition === membershipView.ServerCondition.Alive
    ? Math.max(nextProbeAt, pausedUntil)
    : nextProbeAt;
}
