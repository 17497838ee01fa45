import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as replica from '../../src/replica';
import * as simulation from '../replica/simulation';
import * as application from './simulated-application';

const suite = uvu.suite('safety of the control state');

const SEED = 20_261_204;

// With one-way delays of 200 ms and four entries a message, a replica that lags far needs up to 15 s.
const HEALING_MILLISECONDS = 30_000;

const RUNS = Number(process.env.FIGLINE_PROPERTY_RUNS ?? 200);

enum Fault {
  Crash = 'crash',
  Pause = 'pause',
  Isolate = 'isolate',
  CutOneWay = 'cut-one-way',
  LoseDisk = 'lose-disk',
}

export const scenario = fastCheck.record({
  seed: fastCheck.integer({ min: 1, max: 1_000_000 }),
  replicas: fastCheck.constantFrom(3, 3, 5),
  lossRate: fastCheck.constantFrom(0, 0.05, 0.2),
  duplicateRate: fastCheck.constantFrom(0, 0.1),
  maximumDelayMilliseconds: fastCheck.constantFrom(5, 40, 200),
  crashRate: fastCheck.constantFrom(0, 0.0005, 0.005),
  faults: fastCheck.array(
    fastCheck.record({
      kind: fastCheck.constantFrom(...Object.values(Fault)),
      slot: fastCheck.integer({ min: 0, max: 4 }),
      isAtLeader: fastCheck.boolean(),
      durationMilliseconds: fastCheck.integer({ min: 0, max: 4_000 }),
      waitMilliseconds: fastCheck.integer({ min: 0, max: 2_000 }),
    }),
    { minLength: 2, maxLength: 14 },
  ),
});

type Scenario = typeof scenario extends fastCheck.Arbitrary<infer Value> ? Value : never;

/** Starts a fault and returns how it ends. */
function inject(group: simulation.Simulation, kind: Fault, slot: number): () => void {
  const next = (slot + 1) % group.slots.length;
  switch (kind) {
    case Fault.Crash:
      group.crash(slot);
      return () => {};
    case Fault.Pause:
      group.pause(slot);
      return () => group.resume(slot);
    case Fault.Isolate:
      group.setLinks(slot, false);
      return () => group.setLinks(slot, true);
    case Fault.CutOneWay:
      group.setLink(slot, next, false);
      return () => group.setLink(slot, next, true);
    default:
      group.loseDisk(slot);
      return () => {};
  }
}

/** Proposes through random replicas and through every replica that believes it leads. */
function propose(group: simulation.Simulation, app: application.SimulatedApplication): void {
  const chosen = Math.floor(group.uniform() * group.slots.length);
  group.slots.forEach((slot, index) => {
    if (index === chosen || slot.state?.role === replica.Role.Leader) {
      group.propose(
        index,
        app.nextCommand(index, () => group.uniform()),
      );
    }
  });
}

export function play(given: Scenario, update: typeof replica.update): simulation.Simulation {
  const app = new application.SimulatedApplication(given.replicas);
  const group = new simulation.Simulation({ ...given, update }, app);
  const ends: { at: number; end: () => void }[] = [];
  const run = (milliseconds: number) => {
    for (const until = group.now + milliseconds; group.now < until;) {
      propose(group, app);
      group.run(40);
      ends.filter(({ at }) => at <= group.now).forEach(({ end }) => end());
      ends.splice(0, ends.length, ...ends.filter(({ at }) => at > group.now));
    }
  };
  run(1_500);
  given.faults.forEach((fault) => {
    const slot = fault.isAtLeader ? group.leaderIndex() : fault.slot % given.replicas;
    const end = inject(group, fault.kind, Math.max(0, slot));
    ends.push({ at: group.now + fault.durationMilliseconds, end });
    run(fault.waitMilliseconds);
  });
  run(3_000);
  return group;
}

function hasLostDisk(given: Scenario): boolean {
  return given.faults.some((fault) => fault.kind === Fault.LoseDisk);
}

/** Guards against two leaders, lost or changed entries, falling revisions and keys granted twice. */
suite('no sequence of faults makes replicas contradict each other', () => {
  fastCheck.assert(
    fastCheck.property(scenario, (given) => {
      play(given, replica.update);
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
});

/** Guards against a group that stays blocked after its faults have ended. */
suite('a group whose disks are intact commits again once the faults end', () => {
  fastCheck.assert(
    fastCheck.property(
      scenario.filter((given) => !hasLostDisk(given)),
      (given) => {
        const group = play(given, replica.update);
        group.heal();
        group.run(HEALING_MILLISECONDS);
        const before = group.committed.length;
        group.propose(group.leaderIndex(), Buffer.from('aa', 'hex'));
        group.run(1_000);
        assert.ok(group.committed.length > before, 'nothing was committed');
        assert.ok(group.slots.every((slot) => slot.applied === group.committed.length - 1));
      },
    ),
    { seed: SEED, numRuns: Math.ceil(RUNS / 4), endOnFailure: true },
  );
});

if (require.main === module) {
  suite.run();
}
