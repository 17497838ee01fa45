import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as configuration from '../../src/configuration';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

const suite = uvu.suite('decision');
const { Dispatch, Fail, ReportCrash } = decision.DecisionEffectKind;

suite('a non-idempotent request that may have run is failed and never sent again', () => {
  const desk = builder.createDriver(2).arrive('deposit', { idempotent: false });
  const [first] = desk.takeEffects(Dispatch);
  desk.loseConnection(first, verdict.Verdict.MayHaveRun);
  assert.is(desk.takeEffects(Dispatch).length, 0);
  assert.is(desk.takeEffects(Fail)[0].failure.verdict, verdict.Verdict.MayHaveRun);
});

suite('an idempotent stream resumes at another server from the first undelivered piece', () => {
  const desk = builder.createDriver(2).arrive('history');
  const [first] = desk.takeEffects(Dispatch);
  desk.receivePiece(first, 3).loseConnection(first, verdict.Verdict.MayHaveRun);
  const [second] = desk.takeEffects(Dispatch);
  assert.is(second.resumeFrom, 3);
  assert.is.not(second.serverId, first.serverId);
});

// Guards against an innocent request that is refused for minutes because of servers that speak nonsense.
suite('servers that live and speak nonsense make no request a suspect', () => {
  const desk = builder.createDriver(4).arrive('history');
  for (let turn = 0; turn < 3; turn += 1) {
    const [sent] = desk.takeEffects(Dispatch);
    assert.ok(sent !== undefined, `attempt ${turn} was not sent`);
    const kind = decision.DecisionEventKind.ServerCrashed;
    desk.apply({ kind, at: desk.at, serverId: sent.serverId, isProcessAlive: true });
  }
  assert.is(desk.takeEffects(Fail).length, 0);
  assert.is(desk.takeEffects(ReportCrash).length, 0);
});

suite('suspects of two daemons are retried at different servers', () => {
  // Guards against a second crash in which a suspect of each daemon was in flight, which condemns both.
  for (let sample = 0; sample < 50; sample += 1) {
    const retried = [0, 1].map((position) => {
      const desk = builder.createDriver(4).joinPeers(position, 2, 4);
      const [first] = desk.arrive(`suspect-${position}-${sample}`).takeEffects(Dispatch);
      return desk.loseConnection(first, verdict.Verdict.MayHaveRun).takeEffects(Dispatch)[0]
        .serverId;
    });
    assert.is.not(retried[0], retried[1], `sample ${sample}`);
  }
});

suite(
  'a suspect whose daemon has no live server of its own share goes elsewhere after a wait',
  () => {
    const desk = builder.createDriver(2).joinPeers(1, 2, 2);
    const [first] = desk.arrive('suspect', { prefixChain: [] }).takeEffects(Dispatch);
    desk.apply({
      kind: decision.DecisionEventKind.ServersChanged,
      at: desk.at,
      servers: builder.listServers(1),
    });
    desk.loseConnection(first, verdict.Verdict.MayHaveRun);
    assert.is(desk.takeEffects(Dispatch).length, 0);
    assert.is(desk.wait(4_001).takeEffects(Dispatch)[0]?.serverId, 'runner-0');
  },
);

suite('a long stream leaves a server that loads weights, a short wait after the order', () => {
  // Guards against an engine that stays without new work for the length of its longest stream.
  const desk = builder.createDriver(2).arrive('long', { maximumAttempts: 2 });
  const [first] = desk.takeEffects(Dispatch);
  const servers = builder
    .listServers(2)
    .map((server) =>
      server.id === first.serverId ? { ...server, loading: true as const } : server,
    );
  const kind = decision.DecisionEventKind.ServersChanged;
  desk.receivePiece(first, 3).apply({ kind, at: desk.at, servers });
  assert.is(desk.wait(500).takeEffects(Dispatch).length, 0);
  const [second] = desk.wait(200).takeEffects(Dispatch);
  assert.is(second.resumeFrom, 3);
  assert.is.not(second.serverId, first.serverId);
  assert.is(
    desk.takeEffects(decision.DecisionEffectKind.CancelAttempt)[0].attemptId,
    first.attemptId,
  );
});

suite('a stream that must not be repeated stays until its end', () => {
  const desk = builder.createDriver(2).arrive('once', { idempotent: false });
  const [first] = desk.takeEffects(Dispatch);
  const servers = builder.listServers(2).map((server) => ({ ...server, loading: true as const }));
  const kind = decision.DecisionEventKind.ServersChanged;
  desk.receivePiece(first, 3).apply({ kind, at: desk.at, servers });
  assert.is(desk.wait(5_000).takeEffects(Dispatch).length, 0);
});

suite('a stream that has begun is resumed although the retry budget is used up', () => {
  // Guards against a stream that is cut because other failures have used the budget.
  const desk = builder.createDriver(4);
  desk.state = { ...desk.state, retryBudget: { credit: 0, ratio: 0, maximum: 0 } };
  const [first] = desk.arrive('begun').takeEffects(Dispatch);
  desk.receivePiece(first, 2).loseConnection(first, verdict.Verdict.MayHaveRun);
  assert.is(desk.takeEffects(Dispatch)[0]?.resumeFrom, 2);
  const [second] = desk.arrive('not-begun').takeEffects(Dispatch);
  desk.loseConnection(second, verdict.Verdict.MayHaveRun);
  assert.is(desk.takeEffects(Dispatch).length, 0);
});

suite('a stream that has begun survives a row of refusals', () => {
  // Guards against a stream that is cut because loading engines refused it before and after it began.
  const desk = builder.createDriver(4);
  let [sent] = desk.arrive('begun').takeEffects(Dispatch);
  for (let refusal = 0; refusal < 4; refusal += 1) {
    [sent] = desk.loseConnection(sent, verdict.Verdict.NotRun).takeEffects(Dispatch);
  }
  desk.receivePiece(sent, 2).loseConnection(sent, verdict.Verdict.MayHaveRun);
  [sent] = desk.takeEffects(Dispatch);
  desk.loseConnection(sent, verdict.Verdict.NotRun);
  assert.is(desk.takeEffects(Dispatch)[0]?.resumeFrom, 2);
});

suite('new work goes to the newest weights while both are served', () => {
  const desk = builder.createDriver(2);
  const servers = builder
    .listServers(2)
    .map((server, index) => ({ ...server, weightsVersion: index === 0 ? '10' : '9' }));
  desk.apply({ kind: decision.DecisionEventKind.ServersChanged, at: 0, servers });
  ['a', 'b', 'c'].forEach((id) => {
    const [sent] = desk.arrive(id, { prefixChain: [], promptTokens: 10 }).takeEffects(Dispatch);
    assert.is(sent.serverId, 'runner-0');
    desk.finish(sent);
  });
});

suite('an engine with weights below the minimum gets no work', () => {
  const desk = builder.createDriver(2);
  const service = configuration.modelServiceSchema.parse({
    ...desk.state.services.first(),
    minimumWeightsVersion: '10',
  });
  const servers = builder.listServers(1).map((server) => ({ ...server, weightsVersion: '9' }));
  const documents = new Map([[configuration.documentKey(service), service]]);
  desk
    .apply({ kind: decision.DecisionEventKind.ServersChanged, at: 0, servers })
    .apply({
      kind: decision.DecisionEventKind.ConfigurationChanged,
      at: 0,
      snapshot: { revision: 2, documents },
    })
    .arrive('a');
  assert.is(desk.takeEffects(Dispatch).length, 0);
  const renewed = servers.map((server) => ({ ...server, weightsVersion: '10' }));
  desk.apply({ kind: decision.DecisionEventKind.ServersChanged, at: 0, servers: renewed });
  assert.is(desk.takeEffects(Dispatch).length, 1);
});

suite.run();
