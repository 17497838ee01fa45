import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as decision from '../../src/decision';
import * as routing from '../../src/routing';
import * as fakeEngine from '../support/fake-engine';
import * as fakePlainService from '../support/fake-plain-service';
import * as observationRecorder from '../support/observation-recorder';

const suite = uvu.suite('poll task');

const MACHINE: backend.MachineRecord = {
  id: 'desk-1',
  host: '127.0.0.1',
  port: 1,
  zone: 'pl-caudan',
  region: 'port-louis',
  service: 'inspection-desk',
  kind: backend.BackendKind.ModelEngine,
  phase: backend.MachinePhase.Live,
};

suite('every eviction is fed once, over several polls', async () => {
  const engine = new fakeEngine.FakeEngine(MACHINE);
  const pool = new routing.BackendPool({
    open: ({ kind }) =>
      kind === backend.BackendKind.PlainService ? new fakePlainService.FakePlainService() : engine,
  });
  pool.update([MACHINE]);
  const evicted: string[] = [];
  const core: routing.DecisionCore<undefined> = {
    startState: undefined,
    isWaiting: () => false,
    update: (state, event) => {
      if (event.kind === decision.DecisionEventKind.CacheEvicted) {
        evicted.push(event.chainHash);
      }
      return { startState: state, state, effects: [] };
    },
  };
  const time = new clock.ManualClock();
  const task = new routing.DecisionTask(core as routing.DecisionCore<unknown>, time, () => {});
  const observer = new observationRecorder.ObservationRecorder();
  const random = new clock.SeededRandomSource(1);
  const polls = new routing.PollTask({ pool, task, observer, time, random });
  polls.start();
  for (let sequence = 1; sequence <= 6; sequence += 1) {
    const kind = backend.CacheEventKind.Evicted;
    engine.events.push({ sequence, kind, chainHash: `hash-${sequence}` });
    time.advance(1_000);
    await new Promise(setImmediate);
  }
  time.advance(1_000);
  await new Promise(setImmediate);
  polls.close();
  task.close();
  assert.equal(
    evicted,
    [1, 2, 3, 4, 5, 6].map((sequence) => `hash-${sequence}`),
  );
});

suite.run();
