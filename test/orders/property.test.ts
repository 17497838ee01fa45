import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as fastCheck from 'fast-check';
import * as orderSimulation from './order-simulation';

const suite = uvu.suite('order properties');

const { ActionKind } = orderSimulation;

/** Advancing time is the most frequent action, because time must pass between the others. */
const kinds = [
  ...Object.values(ActionKind),
  ...Array.from({ length: 10 }, () => ActionKind.Advance),
  ActionKind.Publish,
];

const histories = fastCheck.record({
  seed: fastCheck.integer({ min: 1, max: 1_000_000 }),
  actions: fastCheck.array(
    fastCheck.record({
      kind: fastCheck.constantFrom(...kinds),
      pick: fastCheck.nat(1_000),
    }),
    { minLength: 20, maxLength: 80, size: 'max' },
  ),
});

function check(
  seed: number,
  options: Omit<orderSimulation.SimulationOptions, 'seed'>,
  property: (simulation: orderSimulation.OrderSimulation) => void,
): void {
  fastCheck.assert(
    fastCheck.property(histories, (history) => {
      const simulation = new orderSimulation.OrderSimulation({ seed: history.seed, ...options });
      history.actions.forEach((action) => simulation.act(action));
      property(simulation);
    }),
    { seed, numRuns: 150 },
  );
}

/** Orders arrive and end within the longest order time; the engines of one service check fencing numbers. */
const WITHIN_BOUNDS = {
  transitMilliseconds: 300,
  checksFencing: (service: string) => service === 'office',
};

/**
 * Guards against concurrent orders of an old and a new leader, a second order to an engine whose first order has an
 * unknown outcome, and too many engines out of service.
 */
suite('concurrent leaders never overload the weight store, an engine or a service', () =>
  check(20_261_204, WITHIN_BOUNDS, (simulation) => {
    assert.is(simulation.settle(), true);
    assert.equal(simulation.violations, []);
    assert.equal(
      simulation.engines.flatMap((engine) => engine.violations),
      [],
    );
  }),
);

/**
 * The same for leaders that read which orders earlier leaders have recorded and do not wait otherwise. Guards against an
 * order to an engine that may still execute that of an earlier leader.
 */
suite('leaders that know the orders of earlier ones never overload an engine or a service', () =>
  check(20_261_205, { ...WITHIN_BOUNDS, recordsOrders: true }, (simulation) => {
    assert.is(simulation.settle(), true);
    assert.equal(simulation.violations, []);
    assert.equal(
      simulation.engines.flatMap((engine) => engine.violations),
      [],
    );
  }),
);

/** Guards against fencing numbers that do not increase with the leaders: here an order may arrive very late. */
suite(
  'an engine that checks fencing numbers never executes a late order of an earlier leader',
  () =>
    check(7, { transitMilliseconds: 4_000, checksFencing: () => true }, (simulation) => {
      assert.is(simulation.settle(), true);
      const violations = simulation.engines.flatMap((engine) => engine.violations);
      assert.equal(
        violations.filter((violation) => violation.endsWith('stale order')),
        [],
      );
    }),
);

suite.run();
