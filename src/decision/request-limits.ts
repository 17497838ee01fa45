import * as admission from '../admission';
import type * as event from './event';
import type * as steps from './step';

/** Records that a server has named another limit of requests a second, or none. */
export function applyLimit(step: steps.Step, changed: event.ServerLimitChanged): void {
  const { serverId, requestsPerSecond } = changed;
  const { requestLimits, daemons } = step.state;
  if (requestsPerSecond === undefined) {
    step.change({ requestLimits: requestLimits.delete(serverId) });
    return;
  }
  const known = requestLimits.get(serverId);
  const phase = known === undefined ? step.random() : 1;
  const fresh = admission.newRateShare(requestsPerSecond, step.at, phase, daemons);
  // A change of the limit gives nobody a turn that would not have had one within a period.
  const turnAt = Math.min(known?.turnAt ?? Infinity, fresh.turnAt);
  step.change({ requestLimits: requestLimits.set(serverId, { ...fresh, turnAt }) });
}

/** Whether the limit of a server leaves no request to this daemon now. */
export function isThrottled({ state, at }: steps.Step, serverId: string): boolean {
  const share = state.requestLimits.get(serverId);
  return share !== undefined && !admission.hasTurn(share, at, state.daemons);
}

/** Counts a request that is sent to a server, if that has a limit. */
export function countSent(step: steps.Step, serverId: string): void {
  const { requestLimits, daemons } = step.state;
  const share = requestLimits.get(serverId);
  if (share !== undefined) {
    const used = admission.useTurn(share, step.at, daemons);
    step.change({ requestLimits: requestLimits.set(serverId, used) });
  }
}
