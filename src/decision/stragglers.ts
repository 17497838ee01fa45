import * as immutable from 'immutable';
import * as health from '../health';
import type * as steps from './step';

/** Updates which servers are slower than their peers, also from pieces that are overdue now. */
export function refresh(step: steps.Step): void {
  recordOverduePieces(step);
  const slow = [...step.state.pools.values()].flatMap((pool) =>
    health.slowdowns(step.state.timings, pool, step.at),
  );
  if (slow.length > 0 || !step.state.slowdowns.isEmpty()) {
    step.change({ slowdowns: immutable.Map(slow) });
  }
}

/**
 * Records the wait for the next piece as a sample once it is much longer than the median. All streams of a
 * server must be overdue, because one stalled connection does not show that the server is slow.
 */
function recordOverduePieces(step: steps.Step): void {
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
    const median =
      waiting.length === 0 ? undefined : health.medianPieceGap(step.state.timings, pool);
    waiting.forEach((serverId) => {
      const wait = waits.get(serverId)!;
      if (median !== undefined && wait > median * OVERDUE_RATIO + REPORT_MILLISECONDS) {
        step.change({
          timings: health.recordPieceGap(step.state.timings, serverId, wait, step.at),
        });
      }
    });
  });
}

const OVERDUE_RATIO = 3;

/** The pieces of a stream are reported up to this late, several at once. */
const REPORT_MILLISECONDS = 100;
