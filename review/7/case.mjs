/** One request whose number of output tokens has 400 digits. */
import * as http from 'node:http';
import { hasTrouble, runCase, sleep } from '../rig/rig.mjs';
import { manifest, Runner, streamAnswer } from '../rig/runners.mjs';
import { headersOf, newId, send } from '../rig/callers.mjs';

const OUTPUT_TOKENS = hasTrouble ? '9'.repeat(400) : '13';
const OBSERVED_MILLISECONDS = 30_000;

await runCase('.', {}, async (system, record) => {
  await system.start(3, 1);
  const apps = [1, 2, 3].map(() => new Runner(record, system.prefix, 'app'));
  const answer = streamAnswer({ events: 13, pauseMilliseconds: 20 });
  const desks = [1, 2, 3, 4, 5, 6].map(
    () => new Runner(record, system.prefix, 'desk', { model: 'm1', answer }),
  );
  await Promise.all([...apps, ...desks].map((runner) => runner.start()));
  system.entries = [...apps, ...desks].map(({ entry }) => entry);
  await system.order('PUT', '/-/config', manifest(1));
  await system.ready();
  await sleep(3_000);

  const [gateway] = system.gateways;
  const agent = new http.Agent({ keepAlive: true });
  const callStream = async (outputTokens) => {
    const id = newId();
    const waitMilliseconds = 5_000;
    const more = {
      'x-figline-model': 'm1',
      'x-figline-token-counts': `600,${outputTokens}`,
      'x-figline-prompt-prefix': `5c1e07a2:300,91bd3f06:200,${id.slice(0, 8)}:100`,
    };
    const headers = headersOf('desk.example', id, { waitMilliseconds, more });
    record.write('sent', { kind: 'report', id, outputTokens: outputTokens.slice(0, 20) });
    const outcome = await send(system.front(), { path: '/report/1', headers, agent });
    const { status, milliseconds } = outcome;
    const hasRun = desks.some(({ runs }) => runs.has(id));
    record.write('answered', { kind: 'report', id, status, milliseconds, hasRun });
    return { kind: 'report', status, milliseconds };
  };
  const callCharge = async () => {
    const id = newId();
    const headers = headersOf('app.example', id);
    record.write('sent', { kind: 'charge', id });
    const outcome = await send(system.front(), { path: '/charge/1', headers, agent, body: 'a' });
    const { status, milliseconds } = outcome;
    record.write('answered', { kind: 'charge', id, status, milliseconds });
    return { kind: 'charge', status, milliseconds };
  };

  const before = await Promise.all(
    Array.from({ length: 20 }, async (_unused, index) => {
      await sleep(index * 50);
      return callStream('13');
    }),
  );
  const firstServed = before.filter(({ status }) => status === 200).length;
  record.write('before', { sent: before.length, served: firstServed });

  record.write('the request is sent', {});
  await callStream(OUTPUT_TOKENS);
  await sleep(1_000);

  const calls = [];
  const end = performance.now() + OBSERVED_MILLISECONDS;
  while (performance.now() < end) {
    calls.push(callStream('13'), callCharge());
    await sleep(250);
  }
  const outcomes = await Promise.all(calls);
  agent.destroy();
  const isReady = await system.isReady(gateway.ip);
  const shareOf = (chosen) =>
    chosen.filter(({ status }) => status === 200).length / Math.max(1, chosen.length);
  const all = shareOf(outcomes);
  const shares = ['report', 'charge'].map((kind) => ({
    kind,
    share: shareOf(outcomes.filter((outcome) => outcome.kind === kind)),
  }));
  const late = outcomes.filter(
    ({ kind, milliseconds }) => kind === 'report' && milliseconds >= 5_000,
  ).length;
  record.write('seen', { isReady, exit: gateway.exit, all, shares, late, sent: outcomes.length });
  return [
    ...shares
      .filter(({ share }) => share < all / 4)
      .map(({ kind, share }) => `${kind}: ${share} of its requests are served, ${all} of all`),
    ...(late > 0 ? [`${late} requests had no answer within their time budget`] : []),
  ];
});
