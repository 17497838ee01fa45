// Clients send GET requests with a body on a route of kind `safe`; the runner tells which body it has got.
import * as path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Deployment, manifestOf, pause, Record, runCase } from '../stand/deployment.mjs';
import { send } from '../stand/client.mjs';
import { Runner } from '../stand/runner.mjs';

const STABLE_MILLISECONDS = 3_000;
const REQUESTS = 10;

const folder = path.dirname(fileURLToPath(import.meta.url));
const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(path.join(folder, 'record.txt'));
const deployment = new Deployment(1);

/** Keeps the bodies on which requests ran. */
class KeepingRunner extends Runner {
  bodies = new Map();

  run(requestId, response, body) {
    this.bodies.set(requestId, body.toString());
    super.run(requestId, response, body);
  }
}

const runner = new KeepingRunner('i-1');

await runCase(deployment, record, [runner], async () => {
  await runner.listen();
  deployment.instances = [runner.instance];
  await deployment.start(manifestOf(1, ['safe'], 1_200));
  await pause(STABLE_MILLISECONDS);
  let changed = 0;
  for (let index = 1; index <= REQUESTS; index += 1) {
    for (const method of ['GET', 'POST']) {
      const id = `${method.toLowerCase()}-${index}`;
      const hasBody = isTroubled || method === 'POST';
      const body = hasBody ? Buffer.from(`{"vendors":[${index}]}`) : undefined;
      const answer = await send(deployment.gateways[0], {
        id,
        method,
        path: `/safe/search?page=${index}`,
        deadline: 1_200,
        patience: 3_000,
        body,
        headers: hasBody ? { 'content-type': 'application/json' } : {},
      });
      const sent = body?.toString() ?? '';
      const got = runner.bodies.get(id);
      record.add(`${id}: sent '${sent}', answered ${answer.status}, the runner ran it on '${got}'`);
      if (got === undefined) {
        throw new Error(`${id} did not run`);
      }
      changed += got === sent ? 0 : 1;
    }
  }
  record.add(`requests that ran with another body than that of the client: ${changed}`);
  return changed > 0;
});
