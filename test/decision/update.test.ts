import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as immutable from 'immutable';
import * as admission from '../../src/admission';
import * as configuration from '../../src/configuration';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

const suite = uvu.suite('decision');
const { Dispatch, Fail, ReportCrash } = decision.DecisionEffectKind;

suite('a non-idempotent request that may have run is failed and never sent again', () => {
  const driver = builder.createDriver(2).arrive('deposit', { idempotent: false });
  const [first] = driver.takeEffects(Dispatch);
  driver.loseConnection(first, verdict.Verdict.MayHaveRun);
  assert.is(driver.takeEffects(Dispatch).length, 0);
  assert.is(driver.takeEffects(Fail)[0].failure.verdict, verdict.Verdict.MayHaveRun);
});

suite('an idempotent stream resumes at another server from the first undelivered piece', () => {
  const driver = builder.createDriver(2).arrive('history');
  const [first] = driver.takeEffects(Dispatch);
  driver.receivePiece(first, 3).loseConnection(first, verdict.Verdict.MayHaveRun);
  const [second] = driver.takeEffects(Dispatch);
  assert.is(second.resumeFrom, 3);
  assert.is.not(second.serverId, first.serverId);
});

// Guards against a harmless request that is refused for minutes because servers send malformed answers.
suite('a server that is alive and sends malformed answers makes no request a suspect', () => {
  const driver = builder.createDriver(4).arrive('history');
  for (let turn = 0; turn < 3; turn += 1) {
    const [sent] = driver.takeEffects(Dispatch);
    assert.ok(sent !== undefined, `attempt ${turn} was not sent`);
    const kind = decision.DecisionEventKind.ServerCrashed;
    driver.apply({ kind, at: driver.at, serverId: sent.serverId, isProcessAlive: true });
  }
  assert.is(driver.takeEffects(Fail).length, 0);
  assert.is(driver.takeEffects(ReportCrash).length, 0);
});

suite('suspects of two daemons are retried at different servers', () => {
  // Guards against a second crash with a suspect of each daemon in flight, after which both are refused.
  for (let sample = 0; sample < 50; sample += 1) {
    const retried = [0, 1].map((position) => {
      const driver = builder.createDriver(4).joinPeers(position, 2, 4);
      const [first] = driver.arrive(`suspect-${position}-${sample}`).takeEffects(Dispatch);
      return driver.loseConnection(first, verdict.Verdict.MayHaveRun).takeEffects(Dispatch)[0]
        .serverId;
    });
    assert.is.not(retried[0], retried[1], `sample ${sample}`);
  }
});

suite(
  'a suspect whose daemon has no live server in its partition goes to another server after a wait',
  () => {
    const driver = builder.createDriver(2).joinPeers(1, 2, 2);
    const [first] = driver.arrive('suspect', { prefixChain: [] }).takeEffects(Dispatch);
    driver.apply({
      kind: decision.DecisionEventKind.ServersChanged,
      at: driver.at,
      servers: builder.listServers(1),
    });
    driver.loseConnection(first, verdict.Verdict.MayHaveRun);
    assert.is(driver.takeEffects(Dispatch).length, 0);
    assert.is(driver.wait(4_001).takeEffects(Dispatch)[0]?.serverId, 'runner-0');
  },
);

suite('a long stream moves from a server that loads weights, a short time after the order', () => {
  // Guards against an engine that gets no new requests until its longest stream has ended.
  const driver = builder.createDriver(2).arrive('long', { maximumAttempts: 2 });
  const [first] = driver.takeEffects(Dispatch);
  const servers = builder
    .listServers(2)
    .map((server) =>
      server.id === first.serverId ? { ...server, loading: true as const } : server,
    );
  const kind = decision.DecisionEventKind.ServersChanged;
  driver.receivePiece(first, 3).apply({ kind, at: driver.at, servers });
  assert.is(driver.wait(500).takeEffects(Dispatch).length, 0);
  const [second] = driver.wait(200).takeEffects(Dispatch);
  assert.is(second.resumeFrom, 3);
  assert.is.not(second.serverId, first.serverId);
  const { CancelAttempt } = decision.DecisionEffectKind;
  assert.equal(driver.takeEffects(CancelAttempt), []);
  driver.receivePiece(second, 4);
  assert.is(driver.takeEffects(CancelAttempt)[0].attemptId, first.attemptId);
});

suite(
  'a stream that must not be repeated stays at a server that loads weights until its end',
  () => {
    const driver = builder.createDriver(2).arrive('once', { idempotent: false });
    const [first] = driver.takeEffects(Dispatch);
    const servers = builder.listServers(2).map((server) => ({ ...server, loading: true as const }));
    const kind = decision.DecisionEventKind.ServersChanged;
    driver.receivePiece(first, 3).apply({ kind, at: driver.at, servers });
    assert.is(driver.wait(5_000).takeEffects(Dispatch).length, 0);
  },
);

suite('a stream that has started is resumed although other requests get no more retries', () => {
  // Guards against a started stream that fails because other failures have used up the budget.
  const driver = builder.createDriver(4);
  const [first] = driver.arrive('begun').takeEffects(Dispatch);
  const { service } = driver.state.requests.get('begun')!.profile;
  const limits = { ratio: 0, slack: 4, windowMilliseconds: 10_000 };
  let budget = admission.newRetryBudget(limits, 1);
  for (let retry = 0; retry < 3; retry += 1) {
    budget = admission.countRetry(budget, driver.at);
  }
  driver.state = { ...driver.state, retryBudgets: immutable.Map([[service, budget]]) };
  driver.receivePiece(first, 2).loseConnection(first, verdict.Verdict.MayHaveRun);
  assert.is(driver.takeEffects(Dispatch)[0]?.resumeFrom, 2);
  const [second] = driver.arrive('not-begun').takeEffects(Dispatch);
  driver.loseConnection(second, verdict.Verdict.MayHaveRun);
  assert.is(driver.takeEffects(Dispatch).length, 0);
});

suite('a stream that has started survives several refusals in a row', () => {
  // Guards against a stream that fails because engines that load weights refuse it before and after its start.
  const driver = builder.createDriver(4);
  let [sent] = driver.arrive('begun').takeEffects(Dispatch);
  for (let refusal = 0; refusal < 4; refusal += 1) {
    [sent] = driver.loseConnection(sent, verdict.Verdict.NotRun).takeEffects(Dispatch);
  }
  driver.receivePiece(sent, 2).loseConnection(sent, verdict.Verdict.MayHaveRun);
  [sent] = driver.takeEffects(Dispatch);
  driver.loseConnection(sent, verdict.Verdict.NotRun);
  assert.is(driver.takeEffects(Dispatch)[0]?.resumeFrom, 2);
});

suite('new requests go to the newest weights while engines serve two versions', () => {
  const driver = builder.createDriver(2);
  const servers = builder
    .listServers(2)
    .map((server, index) => ({ ...server, weightsVersion: index === 0 ? '10' : '9' }));
  driver.apply({ kind: decision.DecisionEventKind.ServersChanged, at: 0, servers });
  ['a', 'b', 'c'].forEach((id) => {
    const [sent] = driver.arrive(id, { prefixChain: [], promptTokens: 10 }).takeEffects(Dispatch);
    assert.is(sent.serverId, 'runner-0');
    driver.finish(sent);
  });
});

suite('an engine with weights below the minimum gets no requests', () => {
  const driver = builder.createDriver(2);
  const service = configuration.modelServiceSchema.parse({
    ...driver.state.services.first(),
    minimumWeightsVersion: '10',
  });
  const servers = builder.listServers(1).map((server) => ({ ...server, weightsVersion: '9' }));
  const documents = new Map([[configuration.documentKey(service), service]]);
  driver
    .apply({ kind: decision.DecisionEventKind.ServersChanged, at: 0, servers })
    .apply({
      kind: decision.DecisionEventKind.ConfigurationChanged,
      at: 0,
      snapshot: { revision: 2, documents },
    })
    .arrive('a');
  assert.is(driver.takeEffects(Dispatch).length, 0);
  const renewed = servers.map((server) => ({ ...server, weightsVersion: '10' }));
  driver.apply({ kind: decision.DecisionEventKind.ServersChanged, at: 0, servers: renewed });
  assert.is(driver.takeEffects(Dispatch).length, 1);
});

/** Guards against roll-outs during which each of hundreds of daemons rebuilds all servers several times a second. */
suite('a list that differs in one server leaves the state of the others alone', () => {
  const driver = builder.createDriver(4);
  const kind = decision.DecisionEventKind.ServersChanged;
  const servers = builder.listServers(4);
  driver.apply({ kind, at: driver.at, servers, listed: servers });
  const { state: before } = driver;
  const loading = { ...servers[2], loading: true as const };
  driver.apply({
    kind,
    at: driver.at,
    servers: [servers[0], servers[1], loading, servers[3]],
    listed: servers,
  });
  const { state: after } = driver;
  const changed = [...after.servers.keys()].filter(
    (id) => after.servers.get(id) !== before.servers.get(id),
  );
  assert.equal(changed, [servers[2].id]);
  assert.is(after.pools, before.pools);
  assert.is(after.listed, before.listed);
  driver.apply({ kind, at: driver.at, servers: servers.slice(1), listed: servers.slice(1) });
  assert.is(driver.state.servers.has(servers[0].id), false);
  assert.equal(driver.state.pools.get(servers[0].service)?.length, 3);
});

/** Guards against a crest at which each waiting request is compared with all servers fifty times a second. */
suite('waiting requests are compared with the servers again only after a change or 100 ms', () => {
  const driver = builder.createDriver(1, 1);
  const [running] = driver.arrive('first').takeEffects(Dispatch);
  driver.arrive('second').arrive('third').wait(100);
  const passedAt = () => driver.state.queuePass?.at;
  const start = passedAt()!;
  driver.wait(20).wait(20).wait(20);
  assert.is(passedAt(), start);
  driver.wait(40);
  assert.is(passedAt(), start + 100);
  driver.at += 10;
  driver.finish(running);
  assert.is(passedAt(), start + 110);
  assert.is(driver.takeEffects(Dispatch).length, 1);
});

suite.run();
