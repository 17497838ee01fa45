import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';
import * as membership from '../../src/membership';
import * as builder from './builder';

const suite = uvu.suite('membership');
const { MembershipEffectKind, ReportKind } = membership;

function alive(): builder.ViewBuilder {
  return new builder.ViewBuilder()
    .list(0, builder.machine('desk-1'), builder.machine('desk-2'))
    .tick(100)
    .probeSucceeded('desk-1', 110, 'a')
    .probeSucceeded('desk-2', 110, 'b');
}

suite(
  'a server that refuses as leaving gets no new requests, although the list still shows it as live',
  () => {
    const view = alive().refusedAsLeaving('desk-1', 200).list(300, builder.machine('desk-1'));
    assert.equal(view.eligibleIds(), []);
  },
);

suite(
  'a leaving server is reported to the peers once, then each second: a broadcast may get lost',
  () => {
    const view = alive();
    view.takeEffects();
    view.refusedAsLeaving('desk-1', 200).refusedAsLeaving('desk-1', 210);
    assert.equal(view.takeEffects(), [MembershipEffectKind.ReportToPeers]);
    assert.equal(view.tick(1_000).takeEffects(), []);
    assert.ok(view.tick(1_200).takeEffects().includes(MembershipEffectKind.ReportToPeers));
  },
);

suite("a peer's report ends new requests of a daemon that cannot read the list", () => {
  const report = { kind: ReportKind.Leaving, serverId: 'desk-1', incarnation: 'a' };
  const view = alive().peerReported(200, report);
  assert.equal(view.eligibleIds(), ['desk-2']);
  view.effects = [];
  assert.equal(view.tick(1_200).effects.filter(({ kind }) => kind === 'report-to-peers').length, 0);
});

suite('a leaving mark applies to one incarnation: a restarted server gets requests again', () => {
  const view = alive().refusedAsLeaving('desk-1', 200).probeSucceeded('desk-1', 250, 'a');
  assert.equal(view.eligibleIds(), ['desk-2']);
  assert.equal(view.probeSucceeded('desk-1', 300, 'c').eligibleIds(), ['desk-1', 'desk-2']);
});

// Guards against an engine whose known weights become unknown because one report does not name them.
suite('a probe that names no weights leaves the known version', () => {
  const view = alive().probeSucceeded('desk-1', 200, 'a', false, 200, {});
  assert.is(membership.eligibleServer(view.view, 'desk-1')?.weightsVersion, 'v1');
});

// Guards against requests given up as lost because a probe that does not name the server's run counts as one of another.
suite('a probe that names no run is no restart', () => {
  const view = alive().probeSucceeded('desk-1', 150, 'c');
  view.takeEffects();
  const probe: membership.ProbeSucceeded = {
    kind: membership.MembershipEventKind.ProbeSucceeded,
    serverId: 'desk-1',
    at: 200,
    startedAt: 200,
    leaving: false,
    jitter: 0.5,
  };
  view.apply(probe);
  assert.equal(view.takeEffects(), []);
  assert.is(membership.eligibleServer(view.view, 'desk-1')?.incarnation, 'c');
  assert.equal(view.apply({ ...probe, leaving: true }).eligibleIds(), ['desk-2']);
  assert.equal(view.apply({ ...probe, at: 300, startedAt: 300 }).eligibleIds(), ['desk-2']);
});

suite('a late report about an earlier incarnation does not affect the current one', () => {
  const report = { kind: ReportKind.Leaving, serverId: 'desk-1', incarnation: 'a' };
  const view = alive().probeSucceeded('desk-1', 200, 'c').peerReported(210, report);
  assert.equal(view.eligibleIds(), ['desk-1', 'desk-2']);
});

suite('a probe that is answered as leaving ends new requests without list and peers', () => {
  assert.equal(alive().probeSucceeded('desk-1', 200, 'a', true).eligibleIds(), ['desk-2']);
});

suite(
  'a server that the list shows as leaving gets no new requests and is reported to the peers',
  () => {
    const leaving = builder.machine('desk-1', { phase: backend.MachinePhase.Leaving });
    const view = alive();
    view.takeEffects();
    view.list(200, leaving, builder.machine('desk-2'));
    assert.equal(view.eligibleIds(), ['desk-2']);
    assert.equal(view.takeEffects(), [MembershipEffectKind.ReportToPeers]);
  },
);

suite('the rate of probes of many healthy servers is limited: each one opens a connection', () => {
  const ids = Array.from({ length: 400 }, (_unused, index) => `desk-${index}`);
  const view = new builder.ViewBuilder().list(0, ...ids.map((id) => builder.machine(id)));
  let probes = 0;
  for (let at = 100; at <= 40_000; at += 100) {
    const started = view
      .tick(at)
      .effects.splice(0)
      .flatMap((effect) => (effect.kind === MembershipEffectKind.Probe ? [effect.serverId] : []));
    started.forEach((id) => view.probeSucceeded(id, at, 'a'));
    probes += started.length;
  }
  // One probe of each server at first, then 40 a second; without a bound it would be 400 a second.
  assert.ok(probes >= 4 * 400 && probes <= 400 + 40 * 40, String(probes));
});

suite('a failed connection only makes a server suspected; the probe decides', () => {
  const view = alive();
  view.takeEffects();
  view.connectionFailed('desk-1', 200).connectionFailed('desk-1', 201);
  assert.equal(view.takeEffects(), [MembershipEffectKind.Probe]);
  assert.is(membership.eligible(view.view)[0].suspected, true);
  view.probeSucceeded('desk-1', 220, 'a');
  assert.is(membership.eligible(view.view)[0].suspected, false);
  assert.equal(view.takeEffects(), []);
});

// Guards against a slow server that every peer of every daemon probes on a new connection each time it is suspected.
suite('peers are told of a suspicion once the first probe fails, and only by who suspected', () => {
  const view = alive();
  view.takeEffects();
  view.connectionFailed('desk-1', 200).probeFailed('desk-1', 220);
  assert.equal(view.takeEffects(), [
    MembershipEffectKind.Probe,
    MembershipEffectKind.ReportToPeers,
  ]);
  view.tick(400).probeFailed('desk-1', 420);
  assert.equal(view.takeEffects(), [
    MembershipEffectKind.Probe,
    MembershipEffectKind.ServerCrashed,
  ]);
  const told = alive();
  told.takeEffects();
  told.peerReported(200, {
    kind: membership.ReportKind.Suspected,
    serverId: 'desk-1',
  });
  told.probeFailed('desk-1', 220);
  assert.equal(told.takeEffects(), [MembershipEffectKind.Probe]);
});

suite('a probe that began before the suspicion does not end it', () => {
  const view = alive().tick(2_000).connectionFailed('desk-1', 2_050);
  view.probeSucceeded('desk-1', 2_060, 'a', false, 2_000);
  assert.is(membership.eligible(view.view)[0].suspected, true);
  view.takeEffects();
  assert.equal(view.tick(2_100).takeEffects(), [MembershipEffectKind.Probe]);
});

suite('two unanswered probes are one crash; the server returns after an answered probe', () => {
  const view = alive().connectionFailed('desk-1', 200).probeFailed('desk-1', 210);
  assert.equal(view.eligibleIds(), ['desk-1', 'desk-2']);
  view.takeEffects();
  view.tick(320).probeFailed('desk-1', 330).tick(2_000).probeFailed('desk-1', 2_010);
  const crashes = view.takeEffects().filter((kind) => kind === 'server-crashed');
  assert.is(crashes.length, 1);
  assert.equal(view.eligibleIds(), ['desk-2']);
  view.probeSucceeded('desk-1', 4_000, 'c');
  assert.equal(view.eligibleIds(), ['desk-1', 'desk-2']);
  assert.not.ok(view.takeEffects().includes(MembershipEffectKind.ServerCrashed));
});

suite('a fast restart is a crash: the incarnation changed; its late answers are ignored', () => {
  const view = alive();
  view.takeEffects();
  view.probeSucceeded('desk-1', 300, 'c');
  assert.equal(view.takeEffects(), [MembershipEffectKind.ServerCrashed]);
  const kind = membership.MembershipEventKind.IncarnationObserved;
  view.apply({ kind, at: 310, serverId: 'desk-1', incarnation: 'a' });
  assert.equal(view.takeEffects(), []);
  assert.is(view.view.servers.get('desk-1')?.incarnation, 'c');
});

function isProbed({ effects }: builder.ViewBuilder, serverId: string): boolean {
  const { Probe } = MembershipEffectKind;
  return effects.some((effect) => effect.kind === Probe && effect.serverId === serverId);
}

// Guards against a server that sends malformed answers to requests and correct ones to probes, and so
// attracts all requests.
suite('a second malformed answer makes a server suspected until a probe after a pause', () => {
  const view = alive().malformedAnswer('desk-1', 200).probeSucceeded('desk-1', 210, 'a');
  assert.not(view.isSuspected('desk-1'));
  view.malformedAnswer('desk-1', 300).probeSucceeded('desk-1', 310, 'a');
  assert.ok(view.isSuspected('desk-1'), 'a probe before the end of the pause cleared the server');
  view.takeEffects();
  view.tick(1_299);
  assert.not(isProbed(view, 'desk-1'));
  view.tick(1_300);
  assert.ok(isProbed(view, 'desk-1'));
  view.probeSucceeded('desk-1', 1_310, 'a');
  assert.not(view.isSuspected('desk-1'));
  assert.equal(view.eligibleIds(), ['desk-1', 'desk-2']);
});

suite('malformed answers of requests that were sent together lead to one pause', () => {
  const view = alive().malformedAnswer('desk-1', 200);
  Array.from({ length: 50 }).forEach(() => view.malformedAnswer('desk-1', 201));
  view.tick(1_201).probeSucceeded('desk-1', 1_210, 'a');
  assert.not(view.isSuspected('desk-1'));
});

suite('malformed answers that are far apart lead to no pause', () => {
  const view = alive().malformedAnswer('desk-1', 200).probeSucceeded('desk-1', 210, 'a');
  view.malformedAnswer('desk-1', 60_000).probeSucceeded('desk-1', 60_010, 'a');
  assert.not(view.isSuspected('desk-1'));
});

// Guards against requests that count as the cause of a crash when a server sends malformed answers.
suite('malformed answers to probes end the use of a server whose process runs', () => {
  const view = alive().connectionFailed('desk-1', 200).probeFailed('desk-1', 210, true);
  view.tick(320).probeFailed('desk-1', 330, true);
  assert.equal(view.eligibleIds(), ['desk-2']);
  const crash = view.effects.find(({ kind }) => kind === MembershipEffectKind.ServerCrashed);
  assert.equal(crash, {
    kind: MembershipEffectKind.ServerCrashed,
    serverId: 'desk-1',
    isDead: true,
    isProcessAlive: true,
  });
});

// Guards against a known weights version that is lost with an entry of the list which names none.
suite('an entry without a weights version keeps the one that is known of the process', () => {
  const incarnation = 'first';
  const listed = (...versions: (string | undefined)[]) =>
    versions.reduce(
      (view, weightsVersion, at) =>
        view.list(at, builder.machine('a', { weightsVersion, incarnation })),
      new builder.ViewBuilder(),
    );
  const versionOf = ({ view }: builder.ViewBuilder) => membership.eligible(view)[0].weightsVersion;
  assert.is(versionOf(listed('v1', undefined)), 'v1');
  assert.is(versionOf(listed('v1', undefined, undefined)), 'v1');
  assert.is(versionOf(listed('v1', undefined, 'v2')), 'v2');
  const probed = listed('v0').probeSucceeded('a', 1, incarnation);
  assert.is(versionOf(probed.list(2, builder.machine('a', { incarnation }))), 'v1');
  const restarted = listed('v1').list(1, builder.machine('a', { incarnation: 'second' }));
  assert.is(versionOf(restarted), undefined);
});

suite('a malformed report of a peer is ignored', () => {
  assert.is(membership.parseReport({ kind: 'leaving' }), undefined);
  assert.is(membership.parseReport('leaving'), undefined);
});

// Guards against idle daemons that go through all servers ten times a second.
suite('without probes at intervals the next tick is the next probe of a suspected server', () => {
  const view = { ...membership.EMPTY_VIEW, probesPeriodically: false };
  const machines = [builder.machine('desk-1'), builder.machine('desk-2')];
  const { Tick, ListRead, ConnectionFailed, ProbeFailed } = membership.MembershipEventKind;
  const listed = membership.update(view, { kind: ListRead, at: 0, machines }).state;
  assert.is(membership.nextTickAt(listed), Infinity);
  const base = { serverId: 'desk-1', at: 100 };
  const suspected = membership.update(listed, { kind: ConnectionFailed, ...base }).state;
  assert.is(membership.nextTickAt(suspected), Infinity);
  const failed = { kind: ProbeFailed, ...base, startedAt: 100, jitter: 0.5 } as const;
  const failing = membership.update(suspected, failed).state;
  const dueAt = membership.nextTickAt(failing);
  assert.ok(dueAt > 100 && dueAt < 1_000, String(dueAt));
  const early = membership.update(failing, { kind: Tick, at: dueAt - 1 });
  assert.equal(early.effects, []);
  const due = membership.update(failing, { kind: Tick, at: dueAt });
  assert.is(due.effects.length, 1);
});

// Guards against streams that are moved away from an engine which refuses requests because it is full.
suite(
  'an engine that refuses a request only seems to load weights until it or the list says so',
  () => {
    const view = new builder.ViewBuilder();
    view.view = { ...membership.EMPTY_VIEW, probesPeriodically: false };
    const engine = () => membership.eligibleServer(view.view, 'desk-1')!;
    view.list(0, builder.machine('desk-1'));
    view.apply({ kind: membership.MembershipEventKind.Refused, at: 100, serverId: 'desk-1' });
    view.probeFailed('desk-1', 600);
    assert.equal([engine().loading, engine().isLoadingPresumed], [true, true]);
    view.list(700, builder.machine('desk-1', { loading: true }));
    assert.equal([engine().loading, engine().isLoadingPresumed], [true, undefined]);
    view.apply({ kind: membership.MembershipEventKind.Refused, at: 800, serverId: 'desk-1' });
    assert.equal([engine().loading, engine().isLoadingPresumed], [true, undefined]);
    view.list(900, builder.machine('desk-1'));
    view.apply({ kind: membership.MembershipEventKind.Refused, at: 1_000, serverId: 'desk-1' });
    assert.equal([engine().loading, engine().isLoadingPresumed], [true, true]);
    view.probeSucceeded('desk-1', 1_400, 'a');
    assert.equal([engine().loading, engine().isLoadingPresumed], [undefined, undefined]);
  },
);

function paused(
  view: builder.ViewBuilder,
  at: number,
  pauseMilliseconds: number,
  incarnation?: string,
): builder.ViewBuilder {
  const kind = membership.MembershipEventKind.Paused;
  return view.apply({ kind, at, serverId: 'desk-1', pauseMilliseconds, incarnation });
}

// Guards against probes of an engine that wants nothing, and against one that seems to load weights instead.
suite('an engine that refuses with a pause is not probed, nor taken for one that loads', () => {
  const view = new builder.ViewBuilder();
  view.view = { ...membership.EMPTY_VIEW, probesPeriodically: false };
  view.list(0, builder.machine('desk-1'));
  paused(view, 100, 4_000);
  view.apply({ kind: membership.MembershipEventKind.Refused, at: 100, serverId: 'desk-1' });
  view.tick(4_099);
  assert.equal(view.takeEffects(), []);
  assert.is(membership.eligibleServer(view.view, 'desk-1')?.loading, undefined);
  view.apply({ kind: membership.MembershipEventKind.Refused, at: 4_200, serverId: 'desk-1' });
  view.tick(4_600);
  assert.ok(isProbed(view, 'desk-1'));
});

suite('a probe that is due waits for the end of a pause, unless the server may be dead', () => {
  const view = alive();
  view.takeEffects();
  paused(view, 100, 5_000).tick(5_099);
  assert.not(isProbed(view, 'desk-1'));
  view.tick(5_100);
  assert.ok(isProbed(view, 'desk-1'));
  const suspected = alive();
  paused(suspected, 100, 5_000).takeEffects();
  suspected.connectionFailed('desk-1', 200);
  assert.ok(isProbed(suspected, 'desk-1'));
});

suite('a pause ends with the run of the server, and one of an earlier run is ignored', () => {
  const view = alive();
  paused(view, 100, 60_000, 'a');
  const kind = membership.MembershipEventKind.IncarnationObserved;
  view.apply({ kind, at: 200, serverId: 'desk-1', incarnation: 'b' });
  paused(view, 300, 60_000, 'a').takeEffects();
  view.tick(2_000);
  assert.ok(isProbed(view, 'desk-1'));
});

// Guards against requests that any weights may run: an engine without weights reports an empty version, which engines read as
// "any" in a request.
suite('a request never requires the empty weights version of engines that report none', () => {
  const { ProbeSucceeded } = membership.MembershipEventKind;
  const ids = ['desk-1', 'desk-2', 'desk-3'];
  const view = new builder.ViewBuilder().list(0, ...ids.map((id) => builder.machine(id)));
  ids.forEach((serverId) =>
    view.apply({
      kind: ProbeSucceeded,
      at: 100,
      serverId,
      startedAt: 100,
      incarnation: serverId,
      weightsVersion: serverId === 'desk-3' ? 'v1' : '',
      leaving: false,
      jitter: 0.5,
    }),
  );
  const [first, second, third] = membership.eligible(view.view);
  assert.is(membership.servingWeights([first, second], 'inspection-desk', 'v2'), 'v2');
  assert.is(membership.servingWeights([first, second, third], 'inspection-desk', 'v2'), 'v1');
});

suite.run();
