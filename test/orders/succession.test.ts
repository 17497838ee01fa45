import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as orders from '../../src/orders';

const suite = uvu.suite('versions in quick succession');
const { OrderEventKind } = orders;

const SERVICE = 'desk';
const PARAMETERS = { ...orders.DEFAULT_PARAMETERS, settleMilliseconds: 0, maximumLoads: 1 };

/** A leader that has just read back engines with the given weights. */
function leaderOf(
  weights: Record<string, string>,
  desired: string,
  parameters: Partial<orders.OrderParameters> = {},
): orders.OrderState {
  const engines = Object.entries(weights).map(([id, weightsVersion]) => ({
    id,
    service: SERVICE,
    suspected: false,
    weightsVersion,
  }));
  const events: orders.OrderEvent[] = [
    { kind: OrderEventKind.BecameLeader, at: 0, term: 2 },
    {
      kind: OrderEventKind.DesiredChanged,
      at: 0,
      services: [{ name: SERVICE, weightsVersion: desired }],
    },
    { kind: OrderEventKind.ServersChanged, at: 0, engines },
    ...engines.map(({ id, weightsVersion }) => ({
      kind: orders.OrderEventKind.Observed as const,
      at: 10,
      serverId: id,
      startedAt: 5,
      incarnation: id,
      weightsVersion,
    })),
  ];
  return events.reduce(
    (state, event) => orders.update(state, event).state,
    orders.initialState({ ...PARAMETERS, ...parameters }),
  );
}

/** The engines to which the leader sends orders with its next tick. */
function ordered(state: orders.OrderState): readonly string[] {
  const tick = { kind: orders.OrderEventKind.Tick as const, at: 20, leaseEndsAt: 500 };
  return orders
    .update(state, tick)
    .effects.flatMap((effect) =>
      effect.kind === orders.OrderEffectKind.SendOrder ? [effect.serverId] : [],
    );
}

/**
 * Guards against engines that are left out of every roll-out: with a new version every 3 s, the first ones
 * were ordered again each time and the last one kept the first version for 8 s.
 */
suite('the engine with the oldest weights is ordered first', () => {
  assert.equal(ordered(leaderOf({ a: '9', b: '9', c: '8', d: '10' }, '11')), ['c']);
});

// Guards against a third of a small service out of work at once, and against slow roll-outs of a large one.
suite('a large service loads at more servers at the same time', () => {
  const weights = (count: number) =>
    Object.fromEntries(Array.from({ length: count }, (_, index) => [`engine-${index}`, '1']));
  const parameters = { maximumLoads: 2, loadFraction: 2 / 7 };
  assert.is(ordered(leaderOf(weights(6), '2', parameters)).length, 2);
  assert.is(ordered(leaderOf(weights(63), '2', parameters)).length, 18);
});

suite.run();
