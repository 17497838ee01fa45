import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as undici from 'undici';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as emulator from '../../src/emulator';
import * as build from '../backend/build';

const suite = uvu.suite('emulated engine');
suite.after.each(build.closeOwners);

async function post(port: number, path: string, body: object, team = 'team-a') {
  const answer = await undici.request(`http://127.0.0.1:${port}${path}`, {
    method: 'POST',
    headers: { 'x-team': team, 'x-request-id': 'r1' },
    body: JSON.stringify(body),
    reset: true,
  });
  return { status: answer.statusCode, headers: answer.headers, body: await answer.body.text() };
}

suite('an exported block is imported for the same team and weights only', async () => {
  const owner = build.buildOwner();
  const source = await build.buildEngine(owner);
  const target = await build.buildEngine(owner);
  const request = () => build.engineRequest('x'.repeat(9_000), { prefixChain: ['aa', 'bb'] });
  await build.readStream((await source.adapter.start(request())).unwrap());
  const requested = { team: 'team-a', weightsVersion: 'weights-1', prefixChain: ['aa', 'bb'] };
  const exported = await post(source.engine.port, '/backend/kv/export', requested);
  assert.is(exported.status, 200);
  const block = JSON.parse(exported.body);
  const importInto = (changes: object, team?: string) =>
    post(target.engine.port, '/backend/kv/import', { ...block, ...changes }, team);

  const otherTeam = await importInto({}, 'team-b');
  assert.is(otherTeam.status, 409);
  assert.is(otherTeam.headers['x-not-run'], 'true');
  assert.is((await importInto({ weightsVersion: 'weights-0' })).status, 409);
  assert.is(target.engine.report().cachedBlocks, 0, 'a refused block was cached');

  assert.is((await importInto({})).status, 200);
  const stream = (await target.adapter.start(request())).unwrap();
  assert.is(stream.head.cachedTokens, 2_000);

  target.engine.replaceWeights('weights-2');
  assert.is((await importInto({})).status, 409, 'a block of older weights was imported');
  const missing = { ...requested, team: 'team-b' };
  assert.is((await post(source.engine.port, '/backend/kv/export', missing)).status, 404);
});

// Guards against cached blocks that callers of unknown teams share: without a team, all of them had the empty one.
suite('requests that name no team use and keep no cached blocks', async () => {
  const owner = build.buildOwner();
  const { engine, adapter } = await build.buildEngine(owner);
  const request = () =>
    build.engineRequest('x'.repeat(9_000), { prefixChain: ['aa', 'bb'], team: '' });
  await build.readStream((await adapter.start(request())).unwrap());
  const second = (await adapter.start(request())).unwrap();
  await build.readStream(second);
  assert.is(second.head.cachedTokens, 0);
  assert.is(engine.report().cachedBlocks, 0);
});

suite('a cache store returns no block to another team', async () => {
  const store = new emulator.EmulatedCacheStore();
  await store.listen();
  const url = `http://127.0.0.1:${store.port}/kept/team-a/weights-1/aa`;
  const call = async (method: 'GET' | 'PUT', team: string) => {
    const headers = { 'x-team': team, 'x-request-id': 'r1' };
    const body = method === 'PUT' ? 'block' : undefined;
    const answer = await undici.request(url, { method, headers, body, reset: true });
    return `${answer.statusCode} ${await answer.body.text()}`;
  };
  assert.ok((await call('PUT', 'team-a')).startsWith('201'));
  assert.ok((await call('GET', 'team-b')).startsWith('403'));
  await store.restart();
  assert.is(await call('GET', 'team-a'), '200 block');
  await store.crash();
});

suite('blocks are evicted when memory is full and when they are old', async () => {
  const owner = build.buildOwner();
  const options = { cacheBlocks: 3, cacheMilliseconds: 5_000 };
  const { engine, adapter } = await build.buildEngine(owner, options);
  const cachedTokens = async (...prefixChain: string[]) => {
    const request = build.engineRequest('x'.repeat(20_000), { prefixChain });
    const stream = (await adapter.start(request)).unwrap();
    await build.readStream(stream);
    return stream.head.cachedTokens;
  };
  await cachedTokens('aa', 'bb', 'cc');
  await cachedTokens('dd');
  assert.is(await cachedTokens('aa', 'bb', 'cc'), 2_000, 'a chain is evicted from its end');
  assert.ok(engine.report().cachedBlocks <= 3);
  const { events } = (await adapter.cacheEvents(0)).unwrap();
  const evicted = events.filter((event) => event.kind === backend.CacheEventKind.Evicted);
  assert.ok(evicted.some((event) => event.chainHash === 'cc'));
});

suite('consecutive pages of cache events contain every event', async () => {
  const owner = build.buildOwner();
  const { adapter } = await build.buildEngine(owner);
  const received: string[] = [];
  let after = 0;
  for (const chainHash of ['aa', 'bb', 'cc']) {
    const request = build.engineRequest('page', { prefixChain: [chainHash] });
    await build.readStream((await adapter.start(request)).unwrap());
    const page = (await adapter.cacheEvents(after)).unwrap();
    received.push(...page.events.map((event) => event.chainHash));
    after = page.nextSequence;
  }
  assert.equal(received, ['aa', 'bb', 'cc']);
});

suite('requests of higher priority get the next free slot', async () => {
  const owner = build.buildOwner();
  const { engine, adapter } = await build.buildEngine(
    owner,
    {
      slots: 1,
      decodeTokensPerSecond: 200,
    },
    build.PATIENT_LIMITS,
  );
  const order: number[] = [];
  const run = async (priority: number) => {
    const request = build.engineRequest(`priority ${priority}`, { priority });
    const started = await adapter.start(request);
    order.push(priority);
    await build.readStream(started.unwrap());
  };
  const first = run(0);
  await build.eventually(() => engine.report().runningRequests === 1);
  const rest = [run(1), run(2), run(9)];
  await Promise.all([first, ...rest]);
  assert.is(order[0], 0);
  assert.ok(order.indexOf(9) < order.indexOf(1), `order of the heads: ${order}`);
});

suite('a third weight load at the same time makes all of them slower', async () => {
  const time = new clock.ManualClock();
  const loadTime = async (count: number) => {
    const store = new emulator.WeightStore(time);
    const start = time.monotonic();
    let done = 0;
    Array.from({ length: count }, () => store.load()).forEach((load) =>
      load.then(() => {
        done += 1;
      }),
    );
    while (done < count) {
      time.advance(10);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    return time.monotonic() - start;
  };
  assert.is(await loadTime(1), 400);
  assert.is(await loadTime(2), 400);
  assert.ok((await loadTime(4)) >= 800);
});

suite('an engine that ignores fencing numbers accepts an old one', async () => {
  const owner = build.buildOwner();
  const { adapter } = await build.buildEngine(owner, { checksFencing: false });
  const order = (fencingNumber: number) =>
    adapter.order({ kind: backend.OrderKind.SetRole, fencingNumber, value: 'prefill' });
  await order(7);
  assert.is((await order(6)).unwrap(), backend.OrderOutcome.Accepted);
});

suite.run();
