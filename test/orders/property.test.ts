import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as fastCheck from 'fast-check';
import * as worldModule from './order-simulation';

const suite = uvu.suite('order properties');

const { ActionKind } = worldModule;

/** Time has to pass between the other actions, so it is the most frequent one. */
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
  options: Omit<worldModule.SimulationOptions, 'seed'>,
  property: (world: worldModule.OrderSimulation) => void,
): void {
  fastCheck.assert(
    fastCheck.property(histories, (history) => {
      const world = new worldModule.OrderSimulation({ seed: history.seed, ...options });
      history.actions.forEach((action) => world.act(action));
      property(world);
    }),
    { seed, numRuns: 150 },
  );
}

/** Orders arrive and end within the longest order time; only one service checks fencing numbers. */
const WITHIN_BOUNDS = {
  transitMilliseconds: 300,
  checksFencing: (service: string) => service === 'office',
};

/**
 * Guards against orders of an old leader beside those of a new one, a second order to an engine whose first
 * one has an unknown outcome, and too many runners out of service.
 */
suite('racing leaders never overload the weight store, an engine or a service', () =>
  check(20_261_204, WITHIN_BOUNDS, (world) => {
    assert.is(world.settle(), true);
    assert.equal(world.violations, []);
    assert.equal(
      world.engines.flatMap((engine) => engine.violations),
      [],
    );
  }),
);

/** Guards against a fencing number that does not order the leaders: here an order may arrive very late. */
suite('an order that arrives after a later leader ordered changes no checking engine', () =>
  check(7, { transitMilliseconds: 4_000, checksFencing: () => true }, (world) => {
    assert.is(world.settle(), true);
    const violations = world.engines.flatMap((engine) => engine.violations);
    assert.equal(
      violations.filter((violation) => violation.endsWith('stale order')),
      [],
    );
  }),
);

suite.run();
