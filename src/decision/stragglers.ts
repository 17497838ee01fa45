import * as immutable from 'immutable';
import * as health from '../health';
import type * as steps from './step';

/** Works out which servers are slower than their peers, also from pieces that are overdue now. */
export function refresh(step: steps.Step): void {
  recordOverdue(step);
  const slow = [...step.state.pools.values()].flatMap((pool) =>
    health.slowdowns(step.state.timings, pool, step.at),
  );
  if (slow.length > 0 || !step.state.slowdowns.isEmpty()) {
    step.change({ slowdowns: immutable.Map(slow) });
  }
}

/**
 * Counts a wait for the next piece as a sample once it is much longer than usual. Every stream of a
 * server must be overdue, since a single silent connection says nothing about the server.
 */
function recordOverdue(step: steps.Step): void {
  const waits = new Map<string, number>();
  step.state.requests.forEach((request) => {
    request.attempts.forEach((attempt) => {
      if (attempt.lastPieceAt !== undefined) {
        const wait = step.at - attempt.lastPieceAt;
        waits.set(attempt.serverId, Math.min(wait, waits.get(attempt.serverId) ?? Infinity));
      }
    });
  });
  step.state.pools.forEach((pool) => {
    const waiting = pool.filter((serverId) => waits.has(serverId));
    const usual =
      waiting.length === 0 ? undefined : health.medianPieceGap(step.state.timings, pool);
    waiting.forEach((serverId) => {
      const wait = waits.get(serverId)!;
      if (usual !== undefined && wait > usual * OVERDUE_RATIO) {
        step.change({
          timings: health.recordPieceGap(step.state.timings, serverId, wait, step.at),
        });
      }
    });
  });
}

const OVERDUE_RATIO = 3;
