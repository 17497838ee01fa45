import * as immutable from 'immutable';
import * as transaction from '../transaction';
import * as answers from './answer';
import type * as desiredService from './desired-service';
import type * as effects from './effect';
import * as events from './event';
import * as history from './history';
import * as planning from './planning';
import * as states from './state';

/**
 * Applies one event to the state of the order core. Only the transaction of a tick contains orders, because a tick
 * carries the end of the leader lease.
 *
 * @example
 * const step = orders.update(state, { kind: OrderEventKind.Tick, at, leaseEndsAt });
 */
export function update(
  state: states.OrderState,
  event: events.OrderEvent,
): transaction.Transaction<states.OrderState, effects.OrderEffect> {
  switch (event.kind) {
    case events.OrderEventKind.BecameLeader:
      return transaction.create(state, {
        ...state,
        issuer: issuerFrom(state, event),
        engines: state.engines.map(withoutObservation),
      });
    case events.OrderEventKind.LostLeadership:
      return transaction.create(state, { ...state, issuer: undefined });
    case events.OrderEventKind.HistoryRead:
      return transaction.create(state, history.applyHistory(state, event));
    case events.OrderEventKind.DesiredChanged:
      return transaction.create(state, { ...state, desired: desiredFrom(event) });
    case events.OrderEventKind.ServersChanged:
      return transaction.create(state, { ...state, engines: enginesFrom(state, event) });
    case events.OrderEventKind.Tick:
      return planning.tick(state, event);
    default:
      return answers.applyAnswer(state, event);
  }
}

/**
 * Delays the first orders of a leader until the orders of all earlier leaders have ended, or until it knows them
 * (`HistoryRead`). Engines that check fencing
 * numbers are no exception: while an unknown order may be executing, neither the limit on concurrent loads nor the
 * rule that half of the engines stay loaded could be kept.
 */
function issuerFrom(state: states.OrderState, event: events.BecameLeader): states.Issuer {
  return { term: event.term, sendFrom: event.at + history.settleMilliseconds(state.parameters) };
}

/** Drops the observation: another leader may have changed the weights since an earlier term of this one. */
function withoutObservation(engine: states.EngineState): states.EngineState {
  return { ...engine, observation: undefined };
}

function desiredFrom(
  event: events.DesiredChanged,
): immutable.Map<string, desiredService.DesiredService> {
  return immutable.Map(event.services.map((service) => [service.name, service] as const));
}

/** Keeps an engine that is no longer listed until its order has ended, because it may still be loading. */
function enginesFrom(
  state: states.OrderState,
  event: events.ServersChanged,
): immutable.Map<string, states.EngineState> {
  const listed = event.engines.map((engine) => {
    const previous = state.engines.get(engine.id) ?? states.newEngine(engine.id);
    const { service, suspected, weightsVersion } = engine;
    const next = { ...previous, service, suspected, listedWeights: weightsVersion, listed: true };
    return [engine.id, next] as const;
  });
  const unlisted = state.engines
    .filter((engine) => engine.order !== undefined)
    .map((engine) => ({ ...engine, listed: false }));
  return unlisted.merge(immutable.Map(listed));
}
