import type * as events from './event';
import type * as parametersModule from './parameters';
import * as states from './state';

/**
 * Lets a new leader send orders at once, except to the engines that an earlier leader has ordered recently: such an
 * engine gets none while the platform would count two senders, and counts as loading until the earlier order has ended.
 * Without a complete history the leader keeps waiting.
 */
export function applyHistory(
  state: states.OrderState,
  event: events.HistoryRead,
): states.OrderState {
  const { issuer, parameters } = state;
  const relevantFrom = event.at - relevantMilliseconds(parameters);
  if (issuer?.term !== event.term || event.knownSince > relevantFrom) {
    return state;
  }
  const engines = state.engines.withMutations((mutable) =>
    event.orders
      .filter(({ recordedAt }) => recordedAt >= relevantFrom)
      .forEach((order) => {
        const engine = state.engines.get(order.serverId) ?? states.newEngine(order.serverId);
        if (engine.order?.fencingNumber !== event.term) {
          mutable.set(order.serverId, withEarlierOrder(state, issuer, engine, order, event.at));
        }
      }),
  );
  const sendFrom = Math.min(issuer.sendFrom, event.at);
  return { ...state, issuer: { ...issuer, sendFrom }, engines };
}

function withEarlierOrder(
  { parameters, nextOrderId }: states.OrderState,
  issuer: states.Issuer,
  engine: states.EngineState,
  { recordedAt, ...order }: events.EarlierOrder,
  at: number,
): states.EngineState {
  // The earlier leader may have sent the order until its lease ended.
  const sentBefore = recordedAt + parameters.longestLeaseMilliseconds;
  const freeFrom = Math.min(issuer.sendFrom, sentBefore + settleMilliseconds(parameters));
  const endsBy = sentBefore + parameters.longestOrderMilliseconds;
  return {
    ...engine,
    nextOrderAt: Math.max(engine.nextOrderAt, freeFrom),
    order: at < endsBy ? { ...order, orderId: -nextOrderId, endsBy, unansweredAt: at } : undefined,
  };
}

/** Time for which an order of an earlier leader matters. */
function relevantMilliseconds(parameters: parametersModule.OrderParameters): number {
  const { longestLeaseMilliseconds, longestOrderMilliseconds } = parameters;
  return (
    longestLeaseMilliseconds + Math.max(settleMilliseconds(parameters), longestOrderMilliseconds)
  );
}

/** Time for which a leader sends no order to an engine that another leader may have ordered. */
export function settleMilliseconds({
  settleMilliseconds: settle,
  longestLeaseMilliseconds,
  longestOrderMilliseconds,
}: parametersModule.OrderParameters): number {
  return settle ?? longestLeaseMilliseconds + longestOrderMilliseconds;
}
