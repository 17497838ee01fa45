import type * as event from './event';
import * as leavingMarks from './leaving';
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

/**
 * Monotonic time in milliseconds of the next probe. While a server pauses it is probed only if it may be dead, or if nothing but
 * a probe can show that it has started again.
 */
export function probeDueAt(server: membershipView.ServerState): number {
  const { condition, nextProbeAt, pausedUntil = 0 } = server;
  const isHeldBack =
    condition === membershipView.ServerCondition.Alive && !leavingMarks.isProbedAgain(server);
  return isHeldBack ? Math.max(nextProbeAt, pausedUntil) : nextProbeAt;
}
