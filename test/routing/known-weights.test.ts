import * as results from 'ts-results';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as routing from '../../src/routing';
import * as verdict from '../../src/verdict';
import * as fakeControlPlane from '../support/fake-control-plane';
import * as fakeControlState from '../support/fake-control-state';
import * as fakeEngine from '../support/fake-engine';
import * as fakePlainService from '../support/fake-plain-service';

const suite = uvu.suite('known weights');

/** Above the time in which probes that are due start. */
const FIRST_PROBES_MILLISECONDS = 200;

function machine(
  id: string,
  service: string,
  kind = backend.BackendKind.ModelEngine,
): backend.MachineRecord {
  return {
    id,
    host: '127.0.0.1',
    port: 9_000,
    zone: 'pl-caudan',
    region: 'pl',
    service,
    kind,
    phase: backend.MachinePhase.Live,
  };
}

/** An engine whose probes end when the test says how. */
class PendingEngine extends fakeEngine.FakeEngine {
  private endProbe: ((outcome: ProbeOutcome) => void) | undefined;

  override probe(): Promise<ProbeOutcome> {
    return new Promise((resolve) => {
      this.endProbe = resolve;
    });
  }

  async end(outcome: ProbeOutcome): Promise<void> {
    this.endProbe!(outcome);
    this.endProbe = undefined;
    await new Promise(setImmediate);
  }
}

type ProbeOutcome = Awaited<ReturnType<fakeEngine.FakeEngine['probe']>>;

const PROBE_ANSWER: ProbeOutcome = new results.Ok({
  incarnation: 'a',
  weightsVersion: 'v1',
  leaving: false,
});

const NO_PROBE_ANSWER: ProbeOutcome = new results.Err(
  verdict.failure(verdict.FailureReason.ConnectFailed, verdict.Verdict.NotRun, 'down'),
);

/** Lets timers run for a while. */
async function pass(time: clock.ManualClock, milliseconds: number): Promise<void> {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 100) {
    time.advance(100);
    await new Promise(setImmediate);
  }
}

/** Starts a task whose list has a plain service and two engines each of two models, and records when the weights are known. */
async function startWithEngines(): Promise<{
  readonly time: clock.ManualClock;
  readonly task: routing.MembershipTask;
  readonly engines: readonly PendingEngine[];
  readonly isKnown: () => boolean;
}> {
  const time = new clock.ManualClock();
  const engines = ['desk', 'desk', 'vault', 'vault'].map(
    (service, index) => new PendingEngine(machine(`i-${index + 1}`, service)),
  );
  const plain = machine('i-0', 'ledger', backend.BackendKind.PlainService);
  const list = [plain, ...engines.map((engine) => engine.machine)];
  const task = new routing.MembershipTask(
    {
      list: { read: async () => new results.Ok(list) },
      pool: new routing.BackendPool({
        open: ({ id }) =>
          engines.find((engine) => engine.machine.id === id) ??
          new fakePlainService.FakePlainService(),
      }),
      plane: new fakeControlPlane.FakeControlPlane(new fakeControlState.FakeControlState(), 'a'),
      task: { now: () => time.monotonic(), feed: () => {} },
      time,
      random: new clock.SeededRandomSource(1),
    },
    1_000,
  );
  await task.start();
  let isKnown = false;
  task.weightsKnown().then(() => {
    isKnown = true;
  });
  await pass(time, FIRST_PROBES_MILLISECONDS);
  return { time, task, engines, isKnown: () => isKnown };
}

// Guards against requests for configured weights that no engine has, because no engine has answered a probe yet.
suite('the weights are known when one engine of each service has answered a probe', async () => {
  const { task, engines, isKnown } = await startWithEngines();
  await engines[1].end(PROBE_ANSWER);
  await engines[2].end(NO_PROBE_ANSWER);
  assert.not.ok(isKnown());
  await engines[3].end(PROBE_ANSWER);
  assert.ok(isKnown());
  task.close();
});

// Guards against a daemon that is never ready because a service has no engine that answers.
suite('the weights of dead engines are not waited for', async () => {
  const { time, task, engines, isKnown } = await startWithEngines();
  await engines[0].end(PROBE_ANSWER);
  const dead = engines.slice(2);
  await Promise.all(dead.map((engine) => engine.end(NO_PROBE_ANSWER)));
  await pass(time, FIRST_PROBES_MILLISECONDS);
  assert.not.ok(isKnown());
  await Promise.all(dead.map((engine) => engine.end(NO_PROBE_ANSWER)));
  assert.ok(isKnown());
  task.close();
});

// Guards against a daemon that becomes ready late because engines accept connections and answer nothing.
suite('the weights of silent engines are waited for until a probe would have ended', async () => {
  const { time, task, isKnown } = await startWithEngines();
  await pass(time, 1_700);
  assert.not.ok(isKnown());
  await pass(time, 100);
  assert.ok(isKnown());
  task.close();
});

suite.run();
