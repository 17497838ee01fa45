// A runner leaves and says so in its answers, while the platform's list of runners does not answer.
import * as http from 'node:http';
import * as path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Deployment, manifestOf, pause, Record, runCase } from '../stand/deployment.mjs';
import { send } from '../stand/client.mjs';
import { Runner } from '../stand/runner.mjs';

const STABLE_MILLISECONDS = 3_000;
const DRAIN_MILLISECONDS = 3_000;
/** A leaving runner serves for `drain_ms` and a little longer. */
const SERVES_MILLISECONDS = DRAIN_MILLISECONDS + 3_000;
const CLIENTS = 18;

const folder = path.dirname(fileURLToPath(import.meta.url));
const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(path.join(folder, 'record.txt'));
const deployment = new Deployment(1);

/** A runner that may leave: its answers and its health check say so. */
class LeavingRunner extends Runner {
  isLeaving = false;

  /** When each request arrived. */
  arrivals = new Map();

  answer(request, response, body) {
    if (this.isLeaving) {
      response.setHeader('server-leaving', '1');
      if (request.url === '/health') {
        response.setHeader('x-figline-instance-id', this.id);
        response.writeHead(503).end();
        return;
      }
    }
    const id = request.headers['x-figline-request-id'];
    if (id !== undefined) {
      this.arrivals.set(id, performance.now());
    }
    super.answer(request, response, body);
  }
}

const runners = [1, 2, 3].map(
  (number) => new LeavingRunner(`i-${number}`, { workMilliseconds: 120 }),
);

await runCase(deployment, record, runners, async () => {
  await Promise.all(runners.map((runner) => runner.listen()));
  deployment.instances = runners.map(({ instance }) => instance);
  await deployment.start(manifestOf(1, ['unsafe'], 1_200));
  await pause(STABLE_MILLISECONDS);
  const [leaving] = runners;
  const attempts = new Map();
  let toldAt;
  let isOver = false;
  let next = 0;
  const clients = Array.from({ length: CLIENTS }, async () => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    while (!isOver) {
      next += 1;
      const id = `request-${next}`;
      const sentAt = performance.now();
      const answer = await send(deployment.gateways[0], {
        id,
        method: 'POST',
        path: `/unsafe/${next}`,
        deadline: 1_200,
        patience: 3_000,
        agent,
        body: Buffer.from('charge'),
      });
      attempts.set(id, { sentAt, status: answer.status });
      if (answer.headers?.['server-leaving'] === '1') {
        toldAt ??= performance.now();
      }
      await pause(20);
    }
    agent.destroy();
  });
  await pause(1_000);
  if (isTroubled) {
    deployment.list.removeAllListeners('request');
    deployment.list.on('request', () => {});
    record.add('the list of runners answers nothing from now on');
  }
  leaving.isLeaving = true;
  record.add(`${leaving.id} leaves, and says so in its answers and its health check`);
  await pause(400);
  deployment.instances = deployment.instances.map((entry) =>
    entry.id === leaving.id ? { ...entry, state: 'draining' } : entry,
  );
  await pause(SERVES_MILLISECONDS - 400);
  leaving.server.close();
  leaving.server.closeAllConnections();
  const endedAt = performance.now();
  record.add(`${leaving.id} has ended, ${SERVES_MILLISECONDS} ms after it began to leave`);
  await pause(1_500);
  isOver = true;
  await Promise.all(clients);
  if (toldAt === undefined) {
    throw new Error('no answer of the leaving runner was passed on');
  }
  const reached = [...leaving.arrivals].filter(
    ([id]) => (attempts.get(id)?.sentAt ?? 0) > toldAt + DRAIN_MILLISECONDS,
  );
  const cut = reached.filter(([id]) => attempts.get(id).status !== 200);
  record.add(
    `first answer with Server-Leaving at a client ${Math.round(endedAt - toldAt)} ms earlier`,
  );
  record.add(`requests sent to the gateway: ${attempts.size}`);
  record.add(
    `requests that reached the runner, sent over ${DRAIN_MILLISECONDS} ms later: ${reached.length}`,
  );
  cut.forEach(([id]) => record.add(`${id} ran there and was answered ${attempts.get(id).status}`));
  record.add(`of these not answered with success: ${cut.length}`);
  return reached.length > 0;
});
