import * as transaction from '../transaction';
import * as capacityModule from './capacity';
import * as effects from './effect';
import * as conditions from './engine-condition';
import type * as events from './event';
import * as notices from './notice';
import type * as states from './state';

type Step = transaction.Transaction<states.OrderState, effects.OrderEffect>;

/** Ends orders whose time is over, then sends orders and read-backs that are due. */
export function tick(state: states.OrderState, event: events.Tick): Step {
  const expired = expireOrders(state, event.at);
  const { issuer } = expired.state;
  if (issuer === undefined || event.at < issuer.sendFrom) {
    return transaction.create(state, expired.state, expired.effects);
  }
  const isSure = event.at < event.leaseEndsAt;
  const ordered = isSure ? sendOrders(expired.state, issuer, event) : none(expired.state);
  const probed = readBack(ordered.state, event.at);
  const emitted = [...expired.effects, ...ordered.effects, ...probed.effects];
  return transaction.create(state, probed.state, emitted);
}

function none(state: states.OrderState): Step {
  return transaction.create<states.OrderState, effects.OrderEffect>(state, state);
}

/** The execution of an order ends at the latest with the longest order time; a read-back follows. */
function expireOrders(state: states.OrderState, at: number): Step {
  const emitted: effects.OrderEffect[] = [];
  const engines = state.engines.withMutations((mutable) => {
    state.engines.forEach((engine, id) => {
      const { order } = engine;
      if (order === undefined || at < order.endsBy) {
        return;
      }
      emitted.push(notices.report(effects.OrderNotice.NotCarriedOut, engine, order));
      const nextOrderAt = at + state.parameters.retryMilliseconds;
      mutable.set(id, { ...engine, order: undefined, nextOrderAt });
    });
  });
  return transaction.create(state, emitted.length === 0 ? state : { ...state, engines }, emitted);
}

function sendOrders(state: states.OrderState, issuer: states.Issuer, event: events.Tick): Step {
  const candidates = state.engines
    .valueSeq()
    .filter((engine) => conditions.mayBeOrdered(state, issuer, engine, event.at))
    .sortBy((engine) => [outdatedRank(engine), engine.serverId].join(' '));
  const emitted: effects.OrderEffect[] = [];
  const next = candidates.reduce((planned, { serverId }) => {
    const engine = planned.engines.get(serverId)!;
    const loads = planned.engines.count(conditions.mayBeLoading);
    const capacity = new capacityModule.Capacity(planned);
    if (loads >= allowedLoads(planned) || !capacity.allowsTakingOut(engine)) {
      return planned;
    }
    const order = orderFor(planned, issuer, engine, event.at);
    emitted.push(sendEffect(engine, order, event.leaseEndsAt));
    const engines = planned.engines.set(serverId, { ...engine, order });
    return { ...planned, engines, nextOrderId: planned.nextOrderId + 1 };
  }, state);
  return transaction.create(state, next, emitted);
}

function allowedLoads({ parameters, engines }: states.OrderState): number {
  const { maximumLoads, loadFraction } = parameters;
  return Math.max(maximumLoads, Math.floor(engines.size * loadFraction));
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
    weightsVersion: state.desired.get(engine.service)!,
    endsBy: at + state.parameters.longestOrderMilliseconds,
  };
}

function sendEffect(
  engine: states.EngineState,
  order: states.PendingOrder,
  sendBefore: number,
): effects.SendOrder {
  const { orderId, fencingNumber, weightsVersion } = order;
  const { serverId } = engine;
  const kind = effects.OrderEffectKind.SendOrder;
  return { kind, serverId, orderId, fencingNumber, weightsVersion, sendBefore };
}

/** Reads back the engines that may be loading, and a few that may get the next orders. */
function readBack(state: states.OrderState, at: number): Step {
  const capacity = new capacityModule.Capacity(state);
  const due = state.engines
    .valueSeq()
    .filter((engine) => conditions.needsAttention(state, engine, at))
    .filter((engine) => !conditions.isLoaded(engine) || capacity.allowsTakingOut(engine))
    .filter((engine) => !engine.probing && engine.nextProbeAt <= at)
    .sortBy((engine) =>
      [conditions.mayBeLoading(engine) ? 0 : 1, outdatedRank(engine), engine.serverId].join(' '),
    )
    .take(MAXIMUM_READ_BACKS)
    .toArray();
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
 * Sorts engines by the age of their weights. While versions follow each other quickly, an engine that was
 * left out of the last roll-out must not be left out of the next one too.
 */
function outdatedRank({ listedWeights, observation }: states.EngineState): string {
  const version = observation?.weightsVersion ?? listedWeights ?? '';
  return version.padStart(VERSION_DIGITS, '0');
}

/** Numbers of this many digits sort as texts; other version names sort among themselves. */
const VERSION_DIGITS = 16;

// A publish may change thousands of engines at once; only the next few to be ordered are probed.
const MAXIMUM_READ_BACKS = 4;
