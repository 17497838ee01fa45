import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as configuration from '../../src/configuration';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

const suite = uvu.suite('decision');
const { Dispatch, Fail, ReportCrash } = decision.DecisionEffectKind;

suite('a non-idempotent request that may have run is failed and never sent again', () => {
  const desk = builder.desk(2).arrive('deposit', { idempotent: false });
  const [first] = desk.take(Dispatch);
  desk.lose(first, verdict.Verdict.MayHaveRun);
  assert.is(desk.take(Dispatch).length, 0);
  assert.is(desk.take(Fail)[0].failure.verdict, verdict.Verdict.MayHaveRun);
});

suite('an idempotent stream resumes at another server from the first undelivered piece', () => {
  const desk = builder.desk(2).arrive('history');
  const [first] = desk.take(Dispatch);
  desk.piece(first, 3).lose(first, verdict.Verdict.MayHaveRun);
  const [second] = desk.take(Dispatch);
  assert.is(second.resumeFrom, 3);
  assert.is.not(second.serverId, first.serverId);
});

// Guards against an innocent request that is refused for minutes because of servers that speak nonsense.
suite('servers that live and speak nonsense make no request a suspect', () => {
  const desk = builder.desk(4).arrive('history');
  for (let turn = 0; turn < 3; turn += 1) {
    const [sent] = desk.take(Dispatch);
    assert.ok(sent !== undefined, `attempt ${turn} was not sent`);
    const kind = decision.DecisionEventKind.ServerCrashed;
    desk.apply({ kind, at: desk.at, serverId: sent.serverId, isProcessAlive: true });
  }
  assert.is(desk.take(Fail).length, 0);
  assert.is(desk.take(ReportCrash).length, 0);
});

suite('suspects of two daemons are retried at different servers', () => {
  // Guards against a second crash in which a suspect of each daemon was in flight, which condemns both.
  for (let sample = 0; sample < 50; sample += 1) {
    const retried = [0, 1].map((position) => {
      const desk = builder.desk(4).share(position, 2, 4);
      const [first] = desk.arrive(`suspect-${position}-${sample}`).take(Dispatch);
      return desk.lose(first, verdict.Verdict.MayHaveRun).take(Dispatch)[0].serverId;
    });
    assert.is.not(retried[0], retried[1], `sample ${sample}`);
  }
});

suite(
  'a suspect whose daemon has no live server of its own share goes elsewhere after a wait',
  () => {
    const desk = builder.desk(2).share(1, 2, 2);
    const [first] = desk.arrive('suspect', { prefixChain: [] }).take(Dispatch);
    desk.apply({
      kind: decision.DecisionEventKind.ServersChanged,
      at: desk.at,
      servers: builder.list(1),
    });
    desk.lose(first, verdict.Verdict.MayHaveRun);
    assert.is(desk.take(Dispatch).length, 0);
    assert.is(desk.wait(4_001).take(Dispatch)[0]?.serverId, 'runner-0');
  },
);

suite('a long stream leaves a server that loads weights, a short wait after the order', () => {
  // Guards against an engine that stays without new work for the length of its longest stream.
  const desk = builder.desk(2).arrive('long', { maximumAttempts: 2 });
  const [first] = desk.take(Dispatch);
  const servers = builder
    .list(2)
    .map((server) =>
      server.id === first.serverId ? { ...server, loading: true as const } : server,
    );
  const kind = decision.DecisionEventKind.ServersChanged;
  desk.piece(first, 3).apply({ kind, at: desk.at, servers });
  assert.is(desk.wait(500).take(Dispatch).length, 0);
  const [second] = desk.wait(200).take(Dispatch);
  assert.is(second.resumeFrom, 3);
  assert.is.not(second.serverId, first.serverId);
  assert.is(desk.take(decision.DecisionEffectKind.CancelAttempt)[0].attemptId, first.attemptId);
});

suite('a stream that must not be repeated stays until its end', () => {
  const desk = builder.desk(2).arrive('once', { idempotent: false });
  const [first] = desk.take(Dispatch);
  const servers = builder.list(2).map((server) => ({ ...server, loading: true as const }));
  const kind = decision.DecisionEventKind.ServersChanged;
  desk.piece(first, 3).apply({ kind, at: desk.at, servers });
  assert.is(desk.wait(5_000).take(Dispatch).length, 0);
});

suite('a stream that has begun is resumed although the retry budget is used up', () => {
  // Guards against a stream that is cut because other failures have used the budget.
  const desk = builder.desk(4);
  desk.state = { ...desk.state, retryBudget: { credit: 0, ratio: 0, maximum: 0 } };
  const [first] = desk.arrive('begun').take(Dispatch);
  desk.piece(first, 2).lose(first, verdict.Verdict.MayHaveRun);
  assert.is(desk.take(Dispatch)[0]?.resumeFrom, 2);
  const [second] = desk.arrive('not-begun').take(Dispatch);
  desk.lose(second, verdict.Verdict.MayHaveRun);
  assert.is(desk.take(Dispatch).length, 0);
});

suite('a stream that has begun survives a row of refusals', () => {
  // Guards against a stream that is cut because loading engines refused it before and after it began.
  const desk = builder.desk(4);
  let [sent] = desk.arrive('begun').take(Dispatch);
  for (let refusal = 0; refusal < 4; refusal += 1) {
    [sent] = desk.lose(sent, verdict.Verdict.NotRun).take(Dispatch);
  }
  desk.piece(sent, 2).lose(sent, verdict.Verdict.MayHaveRun);
  [sent] = desk.take(Dispatch);
  desk.lose(sent, verdict.Verdict.NotRun);
  assert.is(desk.take(Dispatch)[0]?.resumeFrom, 2);
});

suite('new work goes to the newest weights while both are served', () => {
  const desk = builder.desk(2);
  const servers = builder
    .list(2)
    .map((server, index) => ({ ...server, weightsVersion: index === 0 ? '10' : '9' }));
  desk.apply({ kind: decision.DecisionEventKind.ServersChanged, at: 0, servers });
  ['a', 'b', 'c'].forEach((id) => {
    const [sent] = desk.arrive(id, { prefixChain: [], promptTokens: 10 }).take(Dispatch);
    assert.is(sent.serverId, 'runner-0');
    desk.finish(sent);
  });
});

suite('an engine with weights below the minimum gets no work', () => {
  const desk = builder.desk(2);
  const service = configuration.modelServiceSchema.parse({
    ...desk.state.services.first(),
    minimumWeightsVersion: '10',
  });
  const servers = builder.list(1).map((server) => ({ ...server, weightsVersion: '9' }));
  const documents = new Map([[configuration.documentKey(service), service]]);
  desk
    .apply({ kind: decision.DecisionEventKind.ServersChanged, at: 0, servers })
    .apply({
      kind: decision.DecisionEventKind.ConfigurationChanged,
      at: 0,
      snapshot: { revision: 2, documents },
    })
    .arrive('a');
  assert.is(desk.take(Dispatch).length, 0);
  const renewed = servers.map((server) => ({ ...server, weightsVersion: '10' }));
  desk.apply({ kind: decision.DecisionEventKind.ServersChanged, at: 0, servers: renewed });
  assert.is(desk.take(Dispatch).length, 1);
});

suite.run();
