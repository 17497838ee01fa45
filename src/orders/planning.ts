import * as transaction from '../transaction';
import * as effects from './effect';
import * as conditions from './engine-condition';
import type * as events from './event';
import * as loadSlots from './load-slots';
import * as notices from './notice';
import type * as states from './state';

type Step = transaction.Transaction<states.OrderState, effects.OrderEffect>;

/** Ends expired orders, then sends the orders and read-backs that are due. */
export function tick(state: states.OrderState, event: events.Tick): Step {
  const expired = expireOrders(state, event.at);
  const { issuer } = expired.state;
  if (issuer === undefined || event.at < issuer.sendFrom) {
    return transaction.create(state, expired.state, expired.effects);
  }
  const holdsLease = event.at < event.leaseEndsAt;
  const ordered = holdsLease ? sendOrders(expired.state, issuer, event) : noEffects(expired.state);
  const probed = readBack(ordered.state, issuer, event.at);
  const emitted = [...expired.effects, ...ordered.effects, ...probed.effects];
  return transaction.create(state, probed.state, emitted);
}

function noEffects(state: states.OrderState): Step {
  return transaction.create<states.OrderState, effects.OrderEffect>(state, state);
}

/** Ends orders that have reached the longest order time, after which no engine executes them; a read-back follows. */
function expireOrders(state: states.OrderState, at: number): Step {
  const emitted: effects.OrderEffect[] = [];
  const engines = state.engines.withMutations((mutable) => {
    state.engines.forEach((engine, id) => {
      const { order } = engine;
      if (order === undefined || at < order.endsBy) {
        return;
      }
      emitted.push(notices.report(effects.OrderNotice.NotCarriedOut, engine, order));
      mutable.set(id, {
        ...engine,
        order: undefined,
        nextOrderAt: Math.max(at, engine.nextOrderAt),
      });
    });
  });
  return transaction.create(state, emitted.length === 0 ? state : { ...state, engines }, emitted);
}

function sendOrders(state: states.OrderState, issuer: states.Issuer, event: events.Tick): Step {
  const { at, leaseEndsAt } = event;
  const candidates = state.engines
    .valueSeq()
    .filter((engine) => conditions.mayBeOrdered(state, issuer, engine, at))
    .sort(urgencyOrder(state))
    .toArray();
  const slots = new loadSlots.LoadSlots(state, at);
  const emitted: effects.OrderEffect[] = [];
  const next = candidates.reduce((planned, engine) => {
    const reason = slots.tryAcquire(engine);
    if (reason === undefined) {
      return planned;
    }
    const order = orderFor(planned, issuer, engine, at);
    const missedVersionAgeMilliseconds = missedVersionAge(planned, engine, at);
    emitted.push({
      ...sendEffect(engine, order, leaseEndsAt),
      reason,
      missedVersionAgeMilliseconds,
    });
    const engines = planned.engines.set(engine.serverId, { ...engine, order });
    return { ...planned, engines, nextOrderId: planned.nextOrderId + 1 };
  }, state);
  return transaction.create(state, next, emitted);
}

function missedVersionAge(
  state: states.OrderState,
  engine: states.EngineState,
  at: number,
): number | undefined {
  const missed = conditions.oldestMissedVersion(state, engine);
  return missed && Math.round(at - missed.namedAt);
}

function orderFor(
  state: states.OrderState,
  issuer: states.Issuer,
  engine: states.EngineState,
  at: number,
): states.PendingOrder {
  return {
    orderId: state.nextOrderId,
    fencingNumber: issuer.term,
    weightsVersion: state.desired.get(engine.service)!.weightsVersion,
    expectedOrders: engine.observation?.acceptedOrders,
    endsBy: at + state.parameters.longestOrderMilliseconds,
  };
}

function sendEffect(
  engine: states.EngineState,
  order: states.PendingOrder,
  sendBefore: number,
): Omit<effects.SendOrder, 'reason'> {
  const { orderId, fencingNumber, weightsVersion, expectedOrders } = order;
  const { serverId } = engine;
  const kind = effects.OrderEffectKind.SendOrder;
  return { kind, serverId, orderId, fencingNumber, weightsVersion, expectedOrders, sendBefore };
}

/** Reads back engines that may be loading and engines that may get the next orders. */
function readBack(state: states.OrderState, issuer: states.Issuer, at: number): Step {
  const needingReadBack = state.engines
    .valueSeq()
    .filter((engine) => conditions.needsReadBack(state, engine, at))
    .toArray();
  const pending = needingReadBack
    .filter((engine) => conditions.mayBeLoading(engine) && isProbeDue(engine, at))
    .sort((left, right) => left.nextProbeAt - right.nextProbeAt);
  const next = nextCandidates(state, issuer, needingReadBack, at);
  const maximum = Math.max(MAXIMUM_READ_BACKS, Math.ceil(state.engines.size * READ_BACK_FRACTION));
  const candidateShare = Math.ceil(maximum / 2);
  const due = [...next.slice(0, candidateShare), ...pending, ...next.slice(candidateShare)].slice(
    0,
    maximum,
  );
  const nextProbeAt = at + state.parameters.probeMilliseconds;
  const engines = state.engines.withMutations((mutable) =>
    due.forEach((engine) =>
      mutable.set(engine.serverId, { ...engine, probing: true, nextProbeAt }),
    ),
  );
  return transaction.create<states.OrderState, effects.OrderEffect>(
    state,
    due.length === 0 ? state : { ...state, engines },
    due.map(({ serverId }) => ({ kind: effects.OrderEffectKind.ReadBack, serverId })),
  );
}

/**
 * The engines whose read-back may lead to an order: one more than there are free slots, so that a recent observation
 * exists when a slot becomes free.
 */
function nextCandidates(
  state: states.OrderState,
  issuer: states.Issuer,
  needingReadBack: readonly states.EngineState[],
  at: number,
): readonly states.EngineState[] {
  const slots = new loadSlots.LoadSlots(state, at);
  const recentFrom = at - state.parameters.observationMilliseconds / 2;
  const isRecentlyObserved = (engine: states.EngineState) =>
    conditions.mayBeOrdered(state, issuer, engine, at) &&
    engine.observation!.startedAt > recentFrom;
  const needsLoadSlot = (engine: states.EngineState) =>
    conditions.isLoaded(engine) && !conditions.isBelowMinimum(state, engine, at);
  const candidates = needingReadBack
    .filter((engine) => !conditions.mayBeLoading(engine))
    .filter((engine) => isProbeDue(engine, at) || isRecentlyObserved(engine));
  const needingLoadSlot = candidates
    .filter((engine) => needsLoadSlot(engine) && slots.canTakeOutOfService(engine))
    .sort(urgencyOrder(state))
    .slice(0, slots.free + 1);
  return [...candidates.filter((engine) => !needsLoadSlot(engine)), ...needingLoadSlot]
    .filter((engine) => isProbeDue(engine, at) && !isRecentlyObserved(engine))
    .sort(urgencyOrder(state));
}

function isProbeDue(engine: states.EngineState, at: number): boolean {
  return !engine.probing && engine.nextProbeAt <= at;
}

/** Compares engines by the time of the oldest desired version that they have not loaded, then by their weights. */
function urgencyOrder(
  state: states.OrderState,
): (left: states.EngineState, right: states.EngineState) => number {
  const missedSince = (engine: states.EngineState) =>
    conditions.oldestMissedVersion(state, engine)?.namedAt ?? Infinity;
  return (left, right) =>
    compare(missedSince(left), missedSince(right)) ||
    compare(outdatedRank(left), outdatedRank(right)) ||
    compare(left.serverId, right.serverId);
}

function compare<Key extends number | string>(left: Key, right: Key): number {
  if (left === right) {
    return 0;
  }
  return left < right ? -1 : 1;
}

/**
 * The sort key for the age of an engine's weights. When versions follow each other quickly, an engine that the
 * last roll-out did not reach must not be skipped by the next one too.
 */
function outdatedRank(engine: states.EngineState): string {
  return (conditions.latestWeights(engine) ?? '').padStart(VERSION_DIGITS, '0');
}

/** Pads numeric versions so that they sort as texts; version names that are no numbers sort among themselves. */
const VERSION_DIGITS = 16;

// A publish may concern thousands of engines at once; a tick probes only the next few to be ordered.
const MAXIMUM_READ_BACKS = 4;

/** Raises the limit for many engines: each needs two read-backs for a version within a few seconds. */
const READ_BACK_FRACTION = 0.01;
