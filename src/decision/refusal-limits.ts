import * as immutable from 'immutable';
import * as placement from '../placement';
import * as verdict from '../verdict';
import type * as event from './event';
import type * as state from './state';
import type * as steps from './step';

/**
 * What servers in need say of their service: how many requests a server may refuse in a second for want of room before it
 * falls over, and which servers have refused requests of this daemon lately.
 */
export interface RefusalLimits {
  /** By service. */
  readonly perSecond: immutable.Map<string, number>;
  /** Monotonic time in milliseconds until which a server gets no requests, by server. */
  readonly closedUntil: immutable.Map<string, number>;
}

export const NO_REFUSAL_LIMITS: RefusalLimits = {
  perSecond: immutable.Map(),
  closedUntil: immutable.Map(),
};

/** Records what the newest answer of a service says about its limit. */
export function applyRefusalLimit(step: steps.Step, changed: event.RefusalLimitChanged): void {
  const { service, refusalsPerSecond } = changed;
  const { refusalLimits } = step.state;
  const perSecond =
    refusalsPerSecond === undefined
      ? refusalLimits.perSecond.delete(service)
      : refusalLimits.perSecond.set(service, refusalsPerSecond);
  step.change({ refusalLimits: { ...refusalLimits, perSecond } });
}

/**
 * Load pattern: servers under pressure let fewer requests wait than usual, and each refusal brings a server closer to a fall
 * that takes its running requests with it. All daemons see a free slot at once and the requests of the others late, so that
 * each keeps to its share of a server's slots, and after a refusal sends that server nothing until its share of the
 * refusals allows the next one.
 */
export function hasRoom(step: steps.Step, server: state.ServerState, slots: number): boolean {
  const { perSecond, closedUntil } = step.state.refusalLimits;
  const { id, service } = server.record;
  if (!perSecond.has(service)) {
    return true;
  }
  const total = placement.totalLoad(server.load).requests;
  return (
    step.at >= closedUntil.get(id, 0) &&
    total < slots &&
    server.load.own.requests < ownSlots(step, server, slots)
  );
}

/** Whether all slots of a server belong to other daemons, so that no request waits for it. */
export function isExcluded(step: steps.Step, server: state.ServerState, slots: number): boolean {
  const isLimited = step.state.refusalLimits.perSecond.has(server.record.service);
  return isLimited && ownSlots(step, server, slots) === 0;
}

/**
 * This daemon's slots at a server: the whole part of its share, and at some servers one for the rest. Each daemon has a slot
 * at one server at least, and no more while the number of daemons is unknown.
 */
function ownSlots(step: steps.Step, server: state.ServerState, slots: number): number {
  const { daemons = Infinity } = step.state;
  const share = slots / daemons;
  const whole = Math.floor(share);
  const position = positionOf(step, server);
  const isFirst = step
    .pool(server.record.service)
    .every((other) => !other.eligible || positionOf(step, other) >= position);
  return whole + (position < share - whole || (whole === 0 && isFirst) ? 1 : 0);
}

/** From 0 to 1, different for each daemon and server. */
function positionOf(step: steps.Step, { record }: state.ServerState): number {
  return placement.hashFraction(`${step.state.options.seed}/${record.id}`);
}

/** Closes a server that has refused a request, until this daemon may cause its next refusal. */
export function recordRefusal(
  step: steps.Step,
  { profile }: state.RequestState,
  { serverId }: state.AttemptState,
  { reason }: verdict.RequestFailure,
): void {
  const { refusalLimits, daemons = Infinity } = step.state;
  const perSecond = refusalLimits.perSecond.get(profile.service);
  if (perSecond === undefined || reason !== verdict.FailureReason.BackendRefused) {
    return;
  }
  const share = perSecond / daemons;
  const pause = Math.min(LONGEST_PAUSE_MILLISECONDS, 1_000 / Math.max(share, MINIMUM_SHARE));
  const until = step.at + pause * (1 + step.random() * PAUSE_JITTER);
  const recent = refusalLimits.closedUntil.filter((closed) => closed > step.at);
  step.change({
    refusalLimits: { ...refusalLimits, closedUntil: recent.set(serverId, until) },
  });
}

const MINIMUM_SHARE = 0.01;

/** The room of a server changes within seconds. */
const LONGEST_PAUSE_MILLISECONDS = 5_000;

/** Keeps the daemons from coming back to a server at the same moment. */
const PAUSE_JITTER = 0.5;
