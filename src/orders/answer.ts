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

/** Takes over what an engine answered to a probe or to an order, or that it did not answer. */
export function applyAnswer(state: states.OrderState, event: Answer): Step {
  const engine = state.engines.get(event.serverId);
  if (engine === undefined) {
    return transaction.create<states.OrderState, effects.OrderEffect>(state, state);
  }
  switch (event.kind) {
    case events.OrderEventKind.Observed:
      return observed(state, engine, event);
    case events.OrderEventKind.ProbeFailed:
      return change(state, probeFailed(state, engine, event.at));
    default:
      return engine.order?.orderId === event.orderId
        ? orderAnswered(state, engine, engine.order, event)
        : transaction.create<states.OrderState, effects.OrderEffect>(state, state);
  }
}

function observed(
  state: states.OrderState,
  engine: states.EngineState,
  event: events.Observed,
): Step {
  const { startedAt, incarnation, weightsVersion, loading } = event;
  const observation = { startedAt, incarnation, weightsVersion, loading };
  const next = { ...engine, observation, probing: false };
  const { order } = engine;
  return order !== undefined && isCarriedOut(order, observation)
    ? change(state, { ...next, order: undefined }, [
        notices.report(effects.OrderNotice.Switched, engine, order),
      ])
    : change(state, next);
}

/**
 * The engine did not have the weights before it was ordered to load them, so that an order without an answer has
 * arrived when it has them. While it has not, the order may still arrive.
 */
function isCarriedOut(order: states.PendingOrder, observation: states.Observation): boolean {
  const { acceptedAt, unansweredAt } = order;
  return (
    observation.startedAt >= (acceptedAt ?? unansweredAt ?? Infinity) &&
    !observation.loading &&
    observation.weightsVersion === order.weightsVersion
  );
}

/** The engine lets others go first, so that a few silent ones do not use up all read-backs. */
function probeFailed(
  state: states.OrderState,
  engine: states.EngineState,
  at: number,
): states.EngineState {
  const nextProbeAt = at + state.parameters.retryMilliseconds;
  return { ...engine, probing: false, nextProbeAt };
}

function orderAnswered(
  state: states.OrderState,
  engine: states.EngineState,
  order: states.PendingOrder,
  event: events.OrderAccepted | events.OrderRefused | events.OrderFailed,
): Step {
  const { NotRun, OutcomeUnknown, RefusedAsStale } = effects.OrderNotice;
  const nextOrderAt = event.at + state.parameters.retryMilliseconds;
  const ended = { ...engine, order: undefined, nextOrderAt, nextProbeAt: nextOrderAt };
  if (event.kind === events.OrderEventKind.OrderAccepted) {
    return change(state, { ...engine, order: { ...order, acceptedAt: event.at } });
  }
  if (event.kind === events.OrderEventKind.OrderRefused) {
    const refused = { ...ended, refusedTerm: order.fencingNumber };
    return change(state, refused, [notices.report(RefusedAsStale, engine, order)]);
  }
  return event.verdict === verdict.Verdict.NotRun
    ? change(state, ended, [notices.report(NotRun, engine, order)])
    : change(state, { ...engine, order: { ...order, unansweredAt: event.at } }, [
        notices.report(OutcomeUnknown, engine, order),
      ]);
}

function change(
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
