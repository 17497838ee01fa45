import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

const suite = uvu.suite('streams of an engine that loads weights');

const STREAMS = 6;
/** Retries of this daemon in one window; each move and each refusal after it takes one. */
const RETRIES = 8;

// Guards against streams that are moved with the last retries and cut when the next engine refuses them.
suite('streams that were moved go on although the next engine refuses all of them', () => {
  const driver = builder.createDriver(3);
  const retryLimits = { ratio: 0, slack: RETRIES, windowMilliseconds: 10_000 };
  const options = { ...driver.state.options, retryLimits };
  driver.state = { ...driver.state, options, daemons: 1 };
  const servers = builder.listServers(3);
  const { ServersChanged, AttemptFailed } = decision.DecisionEventKind;
  driver.apply({ kind: ServersChanged, at: driver.at, servers: servers.slice(0, 1) });
  Array.from({ length: STREAMS }, (_, index) =>
    driver.arrive(`stream-${index}`, { isStreamed: true, maximumAttempts: 2 }),
  );
  driver
    .takeEffects(decision.DecisionEffectKind.Dispatch)
    .forEach((dispatch) => driver.receivePiece(dispatch, 5));
  const [first, ...others] = servers;
  const loading = [{ ...first, loading: true as const }, ...others];
  driver.apply({ kind: ServersChanged, at: driver.at, servers: loading });
  [500, 200, 200].forEach((milliseconds) => driver.wait(milliseconds));
  const moved = driver.takeEffects(decision.DecisionEffectKind.Dispatch);
  assert.ok(moved.length > 0, 'streams are moved');
  const { BackendRefused } = verdict.FailureReason;
  const failure = verdict.failure(BackendRefused, verdict.Verdict.NotRun, 'Loads weights.');
  moved.forEach(({ requestId, attemptId }) =>
    driver.apply({ kind: AttemptFailed, at: driver.at, requestId, attemptId, failure }),
  );
  assert.equal(driver.takeEffects(decision.DecisionEffectKind.Fail), []);
});

suite.run();
