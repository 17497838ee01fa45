import * as immutable from 'immutable';
import * as transaction from '../transaction';
import * as answers from './answer';
import type * as desiredService from './desired-service';
import type * as effects from './effect';
import * as events from './event';
import * as planning from './planning';
import type * as states from './state';

/**
 * Advances the order core by one event. Orders leave only in the transaction of a tick, which says how
 * long the daemon is sure of its leadership.
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
 * The first orders of a leader wait until those of every earlier leader have ended. That also holds for
 * engines that check fencing numbers: with an unknown order in execution, two loads at once and half of
 * the runners could not be kept.
 */
function issuerFrom(state: states.OrderState, event: events.BecameLeader): states.Issuer {
  const { longestLeaseMilliseconds, longestOrderMilliseconds, settleMilliseconds } =
    state.parameters;
  const settle = settleMilliseconds ?? longestLeaseMilliseconds + longestOrderMilliseconds;
  const sendFrom = event.at + settle;
  return { term: event.term, sendFrom };
}

/** Another leader may have changed the weights since this one observed the engine in an earlier term. */
function withoutObservation(engine: states.EngineState): states.EngineState {
  return { ...engine, observation: undefined };
}

function desiredFrom(
  event: events.DesiredChanged,
): immutable.Map<string, desiredService.DesiredService> {
  return immutable.Map(event.services.map((service) => [service.name, service] as const));
}

/** An engine that is gone is kept until its order has ended, since it still loads. */
function enginesFrom(
  state: states.OrderState,
  event: events.ServersChanged,
): immutable.Map<string, states.EngineState> {
  const listed = event.engines.map((engine) => {
    const known = state.engines.get(engine.id) ?? newEngine(engine);
    const { service, suspected, weightsVersion } = engine;
    const next = { ...known, service, suspected, listedWeights: weightsVersion, listed: true };
    return [engine.id, next] as const;
  });
  const gone = state.engines
    .filter((engine) => engine.order !== undefined)
    .map((engine) => ({ ...engine, listed: false }));
  return gone.merge(immutable.Map(listed));
}

function newEngine(engine: events.ListedEngine): states.EngineState {
  return {
    serverId: engine.id,
    service: engine.service,
    listed: true,
    suspected: engine.suspected,
    nextOrderAt: Number.NEGATIVE_INFINITY,
    nextProbeAt: Number.NEGATIVE_INFINITY,
    probing: false,
    refusedTerm: Number.NEGATIVE_INFINITY,
  };
}
