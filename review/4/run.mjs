// A manifest makes a tenant isolated, whose requests have shared prompt parts with those of another tenant before.
import * as path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Deployment, HOST, pause, Record, runCase } from '../stand/deployment.mjs';
import { send } from '../stand/client.mjs';
import { deskManifest, Engine } from '../stand/engine.mjs';

const APPLY_MILLISECONDS = 2_500;
const STABLE_MILLISECONDS = 3_000;
const MODEL = 'm0';
const KEYS = { vendors: 'key-of-vendors', treasury: 'key-of-treasury' };
const PROMPTS = 5;

const folder = path.dirname(fileURLToPath(import.meta.url));
const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(path.join(folder, 'record.txt'));
const deployment = new Deployment(1);
const engines = [1, 2].map((number) => new Engine(`i-${number}`, MODEL));

const manifestOf = (version, isIsolated) =>
  deskManifest(
    version,
    MODEL,
    Object.entries(KEYS).map(([name, key]) => ({
      name,
      api_keys: [key],
      priority: 1,
      isolated: isIsolated && name === 'treasury',
    })),
    HOST,
  );

/** Sends one request of a tenant; prompts with one number share their first part. */
async function ask(tenant, prompt, round) {
  const id = `${round}-${tenant}-${prompt}`;
  const answer = await send(deployment.gateways[0], {
    id,
    method: 'POST',
    path: '/desk/a',
    deadline: 5_000,
    patience: 7_000,
    credential: KEYS[tenant],
    body: Buffer.from(`prompt ${prompt}`),
    headers: {
      'x-figline-model': MODEL,
      'x-figline-token-counts': '6400,13',
      'x-figline-prompt-prefix': `${prompt}a${prompt}b:6300,${Buffer.from(id).toString('hex')}:100`,
    },
  });
  record.add(`client: ${id} was answered ${answer.status}`);
}

await runCase(deployment, record, engines, async () => {
  await Promise.all(engines.map((engine) => engine.listen()));
  deployment.instances = engines.map(({ instance }) => instance);
  await deployment.start(manifestOf(1, false));
  record.add('manifest 1 is in force: no tenant is isolated');
  await pause(STABLE_MILLISECONDS);
  for (let prompt = 1; prompt <= PROMPTS; prompt += 1) {
    await ask('treasury', prompt, 1);
  }
  if (!(await deployment.putManifest(manifestOf(2, isTroubled)))) {
    throw new Error('manifest 2 was not acknowledged');
  }
  record.add(`manifest 2 was acknowledged: treasury is ${isTroubled ? '' : 'not '}isolated`);
  await pause(APPLY_MILLISECONDS + STABLE_MILLISECONDS);
  const before = engines.map(({ runs }) => runs.length);
  for (let prompt = 1; prompt <= PROMPTS; prompt += 1) {
    await ask('vendors', prompt, 2);
  }
  let broken = 0;
  engines.forEach(({ id, runs }, index) =>
    runs.slice(before[index]).forEach(({ requestId, tenant, salt, parts, makers }) => {
      const foreign = makers.filter((maker) => maker !== tenant);
      record.add(
        `${id}: ran ${requestId} of ${tenant}, salt ${salt}; parts found of ` +
          `${parts.length}: ${makers.length}, made by ${makers.join(' ') || 'nobody'}`,
      );
      broken += isTroubled && foreign.includes('treasury') ? 1 : 0;
    }),
  );
  const ran = engines.reduce((sum, { runs }, index) => sum + runs.length - before[index], 0);
  if (ran < PROMPTS) {
    throw new Error('requests after the change did not run');
  }
  record.add(`requests of vendors that ran on memory which the isolated tenant made: ${broken}`);
  return broken > 0;
});
