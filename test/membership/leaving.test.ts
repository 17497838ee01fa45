import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';
import * as membership from '../../src/membership';
import * as builder from './builder';

const suite = uvu.suite('servers that leave according to their answers');

const { MembershipEventKind, MembershipEffectKind } = membership;

const ID = 'desk-1';

/** What happens next in a deployment of one server. */
enum Happening {
  Send = 'send',
  Answer = 'answer',
  Leave = 'leave',
  Restart = 'restart',
  List = 'list',
  OlderList = 'older-list',
  MissingEntry = 'missing-entry',
  Time = 'time',
  PeerReport = 'peer-report',
}

interface Call {
  readonly expected: string | undefined;
  readonly run: number;
  readonly saysLeaving: boolean;
  readonly isProbe: boolean;
  readonly sentAt: number;
}

/** A server and the view of one daemon that hears of it late, and in any order. */
class Deployment {
  readonly view = new builder.ViewBuilder();

  run = 1;

  isLeaving = false;

  /** Runs of the server that have told the daemon that they leave, if the call was meant for them. */
  readonly told = new Set<string>();

  private now = 0;

  private calls: Call[] = [];

  constructor(
    private readonly listNamesRuns: boolean,
    private readonly probesNameRuns: boolean,
  ) {
    this.view.view = { ...membership.EMPTY_VIEW, probesPeriodically: false };
    this.list(this.run);
  }

  get known(): string | undefined {
    return this.view.view.servers.get(ID)?.incarnation;
  }

  get isEligible(): boolean {
    return this.view.eligibleIds().includes(ID);
  }

  happen(happening: Happening, choice: number): void {
    this.now += 1;
    switch (happening) {
      case Happening.Send:
        this.send(false);
        break;
      case Happening.Answer:
        this.answer(choice);
        break;
      case Happening.Leave:
        this.isLeaving = true;
        break;
      case Happening.Restart:
        this.run += 1;
        this.isLeaving = false;
        break;
      case Happening.List:
        this.list(this.run);
        break;
      case Happening.OlderList:
        this.list(Math.max(1, this.run - 1));
        break;
      case Happening.MissingEntry:
        this.view.list(this.now);
        break;
      case Happening.PeerReport:
        this.reportOfPeer();
        break;
      default:
        this.pass(choice % 2_000);
    }
    this.startProbes();
  }

  /** Lets time pass, with probes that are answered at once. */
  pass(milliseconds: number): void {
    for (let rest = milliseconds; rest > 0; rest -= 100) {
      this.now += Math.min(100, rest);
      this.view.tick(this.now);
      this.startProbes();
    }
  }

  /** Answers every call that is in flight, in the order in which they were sent. */
  answerAll(): void {
    while (this.calls.length > 0) {
      this.answer(0);
    }
  }

  list(run: number): void {
    this.now += 1;
    const named = this.listNamesRuns ? { incarnation: `run-${run}` } : {};
    this.view.list(this.now, builder.machine(ID, named));
  }

  private send(isProbe: boolean): void {
    const { run, known: expected, isLeaving: saysLeaving, now: sentAt } = this;
    if (!this.view.view.servers.has(ID)) {
      return;
    }
    this.calls.push({ expected, run, saysLeaving, isProbe, sentAt });
  }

  private startProbes(): void {
    const isProbe = (effect: membership.MembershipEffect) =>
      effect.kind === MembershipEffectKind.Probe;
    this.view.effects
      .splice(0)
      .filter(isProbe)
      .forEach(() => this.send(true));
  }

  private answer(choice: number): void {
    const [call] = this.calls.splice(choice % Math.max(1, this.calls.length), 1);
    if (call === undefined) {
      return;
    }
    const { expected, run, saysLeaving, isProbe, sentAt } = call;
    const address = { host: '127.0.0.1', port: 9_000 };
    const base = { at: this.now, serverId: ID };
    if (saysLeaving) {
      if (expected === `run-${run}`) {
        this.told.add(expected);
      }
      const kind = MembershipEventKind.AnsweredAsLeaving;
      this.view.apply({ kind, ...base, ...address, incarnation: expected });
    }
    if (isProbe) {
      this.view.apply({
        kind: MembershipEventKind.ProbeSucceeded,
        ...base,
        startedAt: sentAt,
        leaving: saysLeaving,
        jitter: 0.5,
        ...(this.probesNameRuns ? { incarnation: `run-${run}` } : {}),
      });
    }
  }

  /** Another daemon has heard from the present run that it leaves. */
  private reportOfPeer(): void {
    if (this.isLeaving) {
      const kind = membership.ReportKind.Leaving;
      const report = { kind, serverId: ID, incarnation: `run-${this.run}` };
      this.view.peerReported(this.now, report);
    }
  }
}

const steps = fastCheck.array(
  fastCheck.tuple(
    fastCheck.constantFrom(...Object.values(Happening)),
    fastCheck.nat({ max: 4_000 }),
  ),
  { maxLength: 60 },
);

// Guards against requests at a run that has said that it leaves, and against a mark that outlives its run.
suite('a run that has told the daemon gets no requests, whatever arrives in which order', () => {
  fastCheck.assert(
    fastCheck.property(steps, (happenings) => {
      const deployment = new Deployment(true, true);
      happenings.forEach(([happening, choice]) => {
        deployment.happen(happening, choice);
        const { known, told, isEligible } = deployment;
        assert.not(isEligible && known !== undefined && told.has(known), `${known} gets requests`);
      });
      deployment.happen(Happening.Restart, 0);
      deployment.list(deployment.run);
      deployment.answerAll();
      deployment.list(deployment.run);
      assert.ok(deployment.isEligible, 'a new run gets no requests');
    }),
    { numRuns: 2_000 },
  );
});

// Guards against a server without a known run that is used again while it leaves, or never again after a restart.
[true, false].forEach((probesNameRuns) => {
  const probes = probesNameRuns ? 'probes name it' : 'probes do not name it either';
  suite(`a run that the list does not name gets no requests either, if ${probes}`, () => {
    const withoutPeers = steps.map((happenings) =>
      happenings.filter(
        ([happening]) => happening !== Happening.PeerReport && happening !== Happening.Restart,
      ),
    );
    fastCheck.assert(
      fastCheck.property(withoutPeers, withoutPeers, (before, after) => {
        const deployment = new Deployment(false, probesNameRuns);
        before.forEach(([happening, choice]) => deployment.happen(happening, choice));
        deployment.list(deployment.run);
        deployment.answerAll();
        deployment.happen(Happening.Leave, 0);
        deployment.happen(Happening.Send, 0);
        deployment.answerAll();
        after.forEach(([happening, choice]) => {
          deployment.happen(happening, choice);
          assert.not(deployment.isEligible, `requests after ${happening}`);
        });
        deployment.happen(Happening.Restart, 0);
        deployment.list(deployment.run);
        for (let turn = 0; turn < 8; turn += 1) {
          deployment.answerAll();
          deployment.pass(2_000);
        }
        deployment.answerAll();
        assert.ok(deployment.isEligible, 'the new run gets no requests');
      }),
      { numRuns: 1_000 },
    );
  });
});

function view(): builder.ViewBuilder {
  const built = new builder.ViewBuilder();
  built.view = { ...membership.EMPTY_VIEW, probesPeriodically: false };
  return built;
}

function answered(at: number, incarnation?: string, port = 9_000): membership.AnsweredAsLeaving {
  const kind = MembershipEventKind.AnsweredAsLeaving;
  return { kind, at, serverId: ID, host: '127.0.0.1', port, incarnation };
}

suite('the answer of an earlier run marks nothing', () => {
  const built = view()
    .list(0, builder.machine(ID, { incarnation: 'a' }))
    .list(10, builder.machine(ID, { incarnation: 'b' }))
    .apply(answered(20, 'a'))
    .apply(answered(30));
  assert.equal(built.eligibleIds(), [ID]);
  assert.equal(built.apply(answered(40, 'b')).eligibleIds(), []);
});

suite('the answer of the server that had the id at another address marks nothing', () => {
  const built = view()
    .list(0, builder.machine(ID))
    .list(10, builder.machine(ID, { port: 9_001 }))
    .apply(answered(20));
  assert.equal(built.eligibleIds(), [ID]);
});

// Guards against a message of each daemon in each second for each server that leaves.
suite('an answer is reported to the peers once', () => {
  const built = view().list(0, builder.machine(ID, { incarnation: 'a' }));
  built.takeEffects();
  built.apply(answered(10, 'a')).apply(answered(20, 'a'));
  assert.equal(built.takeEffects(), [MembershipEffectKind.ReportToPeers]);
  assert.is(membership.nextTickAt(built.view), Number.POSITIVE_INFINITY);
  assert.equal(built.tick(60_000).takeEffects(), []);
});

// Guards against the end of running requests because a server that leaves is too busy for a probe.
suite('an unanswered probe of a marked server without a known run is no crash', () => {
  const built = view().list(0, builder.machine(ID)).apply(answered(10));
  built.takeEffects();
  built.tick(5_010);
  assert.equal(built.takeEffects(), [MembershipEffectKind.Probe]);
  built.probeFailed(ID, 5_800).tick(5_900);
  assert.equal(built.takeEffects(), []);
  built.tick(10_900);
  assert.equal(built.takeEffects(), [MembershipEffectKind.Probe]);
});

/** The answer to a probe which names no run and says nothing of leaving. */
function probed(at: number): membership.ProbeSucceeded {
  const kind = MembershipEventKind.ProbeSucceeded;
  return { kind, at, serverId: ID, startedAt: at, leaving: false, jitter: 0.5 };
}

// Guards against a server that is never used again after it has left and come back, if the list does not name its run.
suite('a server that left the list as leaving and comes back is probed, and then used', () => {
  const built = view()
    .list(0, builder.machine(ID))
    .list(10, builder.machine(ID, { phase: backend.MachinePhase.Leaving }))
    .list(20)
    .list(30, builder.machine(ID));
  built.takeEffects();
  built.tick(5_030);
  assert.equal(built.takeEffects(), [MembershipEffectKind.Probe]);
  assert.equal(built.apply(probed(5_040)).eligibleIds(), [ID]);
});

suite('an entry that was missing for long comes back without its mark', () => {
  const built = view().list(0, builder.machine(ID)).apply(answered(10)).list(20);
  assert.equal(built.list(40_000, builder.machine(ID)).eligibleIds(), [ID]);
});

// Guards against a server that stays out for its whole pause though it has started again.
suite('a pause does not hold back the probe that alone can show the next run', () => {
  const built = view().list(0, builder.machine(ID)).apply(answered(10));
  built.apply({
    kind: MembershipEventKind.Paused,
    at: 20,
    serverId: ID,
    pauseMilliseconds: 60_000,
  });
  built.takeEffects();
  built.tick(5_010);
  assert.equal(built.takeEffects(), [MembershipEffectKind.Probe]);
  assert.equal(built.apply(probed(5_020)).eligibleIds(), [ID]);
});

suite.run();
