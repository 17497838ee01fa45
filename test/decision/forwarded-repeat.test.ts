import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

const suite = uvu.suite('requests that another daemon has sent before');

/** As many as the servers take together. */
const REQUESTS = 12;

const LIMITS = { ratio: 0.5, slack: 4, windowMilliseconds: 10_000 };

function createDriver(): builder.DecisionDriver {
  const driver = builder.createDriver(2, 64);
  const options = { ...driver.state.options, retryLimits: LIMITS };
  driver.state = { ...driver.state, options, daemons: 1 };
  return driver;
}

function arrive(driver: builder.DecisionDriver, count: number, earlierSends?: number): void {
  for (let index = 0; index < count; index += 1) {
    driver.arrive(`request-${earlierSends}-${index}`, { earlierSends });
  }
}

/** Ends all requests that were sent, and returns their number. */
function sent(driver: builder.DecisionDriver): number {
  const dispatches = driver.takeEffects(decision.DecisionEffectKind.Dispatch);
  dispatches.forEach((dispatch) => driver.finish(dispatch));
  return dispatches.length;
}

// Guards against repeats beyond the limit, because a daemon takes what another one had sent for new requests (BUDGET).
suite('are sent as repeats, within the limit', () => {
  const driver = createDriver();
  arrive(driver, REQUESTS, 1);
  assert.ok(sent(driver) <= LIMITS.slack);
  const refused = driver.takeEffects(decision.DecisionEffectKind.Fail);
  assert.ok(refused.length >= REQUESTS - LIMITS.slack);
  refused.forEach(({ failure }) => {
    assert.is(failure.verdict, verdict.Verdict.NotRun);
    assert.ok(failure.retryAfterMilliseconds! > 0);
  });
});

// Guards against a limit that grows with requests which two daemons count.
suite('do not raise the limit, sent before or not', () => {
  const driver = createDriver();
  arrive(driver, REQUESTS, 0);
  assert.is(sent(driver), REQUESTS);
  arrive(driver, REQUESTS, 2);
  assert.ok(sent(driver) <= LIMITS.slack);
});

// Guards against a limit that does not know the requests of callers behind a daemon without links.
suite('that were not counted raise the limit like others', () => {
  const driver = createDriver();
  arrive(driver, REQUESTS);
  assert.is(sent(driver), REQUESTS);
  arrive(driver, REQUESTS, 1);
  const repeats = sent(driver);
  assert.ok(
    repeats > LIMITS.slack && repeats <= LIMITS.slack + LIMITS.ratio * REQUESTS,
    `${repeats}`,
  );
});

suite.run();
