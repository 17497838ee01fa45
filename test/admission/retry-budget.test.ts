import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as admission from '../../src/admission';
import * as retryFleet from './retry-fleet';

const suite = uvu.suite('retry budget of a fleet');

const LIMITS: admission.RetryLimits = { ratio: 0.2, slack: 60, windowMilliseconds: 10_000 };

/** The limits that a daemon keeps to, with the margin of the platform's settings. */
const KEPT: admission.RetryLimits = {
  ...LIMITS,
  ratio: LIMITS.ratio * 0.85,
  slack: LIMITS.slack * 0.85,
};

enum Event {
  Restart = 'restart',
  Cut = 'cut',
  Reconnect = 'reconnect',
  Wait = 'wait',
}

const histories = fastCheck.record({
  seed: fastCheck.integer({ min: 1, max: 1_000_000 }),
  daemons: fastCheck.oneof(
    fastCheck.integer({ min: 2, max: 12 }),
    fastCheck.constantFrom(86, 194, 360),
  ),
  rate: fastCheck.constantFrom(0, 0.5, 2),
  events: fastCheck.array(fastCheck.constantFrom(...Object.values(Event)), {
    minLength: 3,
    maxLength: 7,
  }),
});

/** Guards against retries that multiply an overload, because each daemon uses a part that fits a smaller fleet. */
suite('the retries of all daemons keep to the limit, whoever restarts or is cut off', () =>
  fastCheck.assert(
    fastCheck.property(histories, ({ seed, daemons, rate, events }) => {
      const fleet = new retryFleet.RetryFleet({ seed, daemons, limits: KEPT });
      fleet.run(4_000, rate);
      events.forEach((event) => {
        if (event === Event.Restart) {
          fleet.restart(0.5);
        } else if (event === Event.Cut) {
          fleet.cut(0.5);
        } else if (event === Event.Reconnect) {
          fleet.cut(0);
        }
        fleet.run(3_000, rate);
      });
      assert.ok(
        fleet.largestExcess() <= LIMITS.slack - KEPT.slack,
        `${daemons} daemons: ${fleet.largestExcess()} retries over the kept limit`,
      );
    }),
    { seed: 20_261_204, numRuns: 60 },
  ),
);

/** Guards against daemons that join during a failure and retry beside all others. */
suite('daemons that join get their part of the slack only after a window', () => {
  [2, 8, 86, 194].forEach((daemons) => {
    const fleet = new retryFleet.RetryFleet({ seed: daemons, daemons, limits: KEPT });
    fleet.run(4_000, 0);
    fleet.join(Math.ceil(daemons * 0.75));
    fleet.run(20_000, 0);
    assert.ok(fleet.largestExcess() <= 0, `${daemons} daemons: ${fleet.largestExcess()} too many`);
    assert.ok(fleet.retriedAt.length > 0 || KEPT.slack < daemons);
  });
});

/** Guards against a daemon that knows nothing of the others and takes the whole slack. */
suite('a daemon that does not know the number of daemons uses only the ratio', () => {
  let budget = admission.newRetryBudget(LIMITS, undefined);
  assert.is(admission.retriesLeft(budget, 0), 0);
  for (let request = 0; request < 10; request += 1) {
    budget = admission.countRequest(budget, 100);
  }
  assert.is(admission.retriesLeft(budget, 100), 2);
  assert.is(admission.retriesLeft(budget, 10_700), 0);
});

suite('a retry counts until its window has passed', () => {
  const budget = admission.countRetry(admission.newRetryBudget(LIMITS, 60), 1_000);
  assert.is(admission.retriesLeft(budget, 10_900), 0);
  assert.is(admission.retriesLeft(budget, 11_600), 1);
});

suite.run();
