import * as transaction from '../transaction';
import * as verdict from '../verdict';
import * as effects from './effect';
import * as events from './event';
import * as notices from './notice';
import type * as states from './state';

type Step = transaction.Transaction<states.OrderState, effects.OrderEffect>;

type Answer =
  | events.Observed
  | events.ProbeFailed
  | events.OrderAccepted
  | events.OrderRefused
  | events.OrderFailed;

/** Applies the result of a probe or of an order to the state of its engine: an answer, or that none arrived. */
export function applyAnswer(state: states.OrderState, event: Answer): Step {
  const engine = state.engines.get(event.serverId);
  if (engine === undefined) {
    return transaction.create<states.OrderState, effects.OrderEffect>(state, state);
  }
  switch (event.kind) {
    case events.OrderEventKind.Observed:
      return applyObservation(state, engine, event);
    case events.OrderEventKind.ProbeFailed:
      return replaceEngine(state, applyProbeFailure(state, engine, event.at));
    default:
      return engine.order?.orderId === event.orderId
        ? applyOrderAnswer(state, engine, engine.order, event)
        : transaction.create<states.OrderState, effects.OrderEffect>(state, state);
  }
}

function applyObservation(
  state: states.OrderState,
  engine: states.EngineState,
  event: events.Observed,
): Step {
  const { startedAt, incarnation, weightsVersion, loading, acceptedOrders } = event;
  const observation = { startedAt, incarnation, weightsVersion, loading, acceptedOrders };
  const next = { ...engine, observation, probing: false };
  const { order } = engine;
  const notice = order && noticeOf(order, observation);
  return order === undefined || notice === undefined
    ? replaceEngine(state, next)
    : replaceEngine(state, { ...next, order: undefined }, [notices.report(notice, engine, order)]);
}

/** Why a read-back ends the wait for an order; `undefined` while the order may still be carried out. */
function noticeOf(
  order: states.PendingOrder,
  observation: states.Observation,
): effects.OrderNotice | undefined {
  if (isCarriedOut(order, observation)) {
    return effects.OrderNotice.Switched;
  }
  return isExcludedByNext(order, observation) ? effects.OrderNotice.Repeatable : undefined;
}

/**
 * Whether the engine can no longer carry out the order once it has accepted one that is based on this read-back: it
 * compares the number of accepted orders when it begins with an order, however late that is.
 */
function isExcludedByNext(
  { unansweredAt, expectedOrders }: states.PendingOrder,
  { startedAt, loading, acceptedOrders }: states.Observation,
): boolean {
  return (
    unansweredAt !== undefined &&
    startedAt >= unansweredAt &&
    loading === false &&
    expectedOrders !== undefined &&
    acceptedOrders !== undefined &&
    acceptedOrders >= expectedOrders
  );
}

/**
 * The engine did not serve these weights when the order was sent. If it serves them now, the order has arrived even
 * if its answer was lost; otherwise the order may still arrive.
 */
function isCarriedOut(order: states.PendingOrder, observation: states.Observation): boolean {
  const { acceptedAt, unansweredAt } = order;
  return (
    observation.startedAt >= (acceptedAt ?? unansweredAt ?? Infinity) &&
    !observation.loading &&
    observation.weightsVersion === order.weightsVersion
  );
}

/** Delays the next probe, so that a few unresponsive engines do not use up all read-backs of a tick. */
function applyProbeFailure(
  state: states.OrderState,
  engine: states.EngineState,
  at: number,
): states.EngineState {
  const nextProbeAt = at + state.parameters.retryMilliseconds;
  return { ...engine, probing: false, nextProbeAt };
}

function applyOrderAnswer(
  state: states.OrderState,
  engine: states.EngineState,
  order: states.PendingOrder,
  event: events.OrderAccepted | events.OrderRefused | events.OrderFailed,
): Step {
  const { NotRun, OutcomeUnknown, RefusedAsStale } = effects.OrderNotice;
  const nextOrderAt = event.at + state.parameters.retryMilliseconds;
  const ended = { ...engine, order: undefined, nextOrderAt, nextProbeAt: nextOrderAt };
  if (event.kind === events.OrderEventKind.OrderAccepted) {
    return replaceEngine(state, { ...engine, order: { ...order, acceptedAt: event.at } });
  }
  if (event.kind === events.OrderEventKind.OrderRefused) {
    const refused = { ...ended, refusedTerm: order.fencingNumber };
    return replaceEngine(state, refused, [notices.report(RefusedAsStale, engine, order)]);
  }
  return event.verdict === verdict.Verdict.NotRun
    ? replaceEngine(state, ended, [notices.report(NotRun, engine, order)])
    : replaceEngine(state, { ...engine, order: { ...order, unansweredAt: event.at } }, [
        notices.report(OutcomeUnknown, engine, order),
      ]);
}

function replaceEngine(
  state: states.OrderState,
  engine: states.EngineState,
  emitted: readonly effects.OrderEffect[] = [],
): Step {
  const engines = state.engines.set(engine.serverId, engine);
  return transaction.create<states.OrderState, effects.OrderEffect>(
    state,
    { ...state, engines },
    emitted,
  );
}
