// A machine freezes with streams in progress while runners of a new software version are added; the clients take the streams up.
import * as http from 'node:http';
import * as path from 'node:path';
import { fileURLToPath } from 'node:url';
import { CREDENTIAL, Deployment, HOST, pause, Record, runCase } from '../stand/deployment.mjs';
import { deskManifest, Engine } from '../stand/engine.mjs';

const STABLE_MILLISECONDS = 3_000;
const FROZEN_MILLISECONDS = 3_500;
const DEADLINE_MILLISECONDS = 15_000;
/** Clients abandon a stream after this gap. */
const GAP_MILLISECONDS = 2_000;
const EVENTS = 90;
const EVENT_MILLISECONDS = 100;
const STREAMS = 20;
const MODEL = 'm0';

const folder = path.dirname(fileURLToPath(import.meta.url));
const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(path.join(folder, 'record.txt'));
const deployment = new Deployment(8);

/** A runner of a software version, which goes on behind the last event that the client has. */
class StreamEngine extends Engine {
  constructor(id, softwareVersion) {
    super(id, MODEL);
    this.softwareVersion = softwareVersion;
  }

  get instance() {
    return { ...super.instance, version: this.softwareVersion };
  }

  run(requestId, headers, response) {
    let event = Number(headers['last-event-id'] ?? 0);
    this.runs.push({ requestId, from: event + 1 });
    response.writeHead(200, {
      'x-figline-response-seal': `seal.${this.id}.${requestId}`,
      'x-figline-weight-versions': String(this.version),
      'content-type': 'text/event-stream',
    });
    const timer = setInterval(() => {
      event += 1;
      if (event <= EVENTS) {
        response.write(`id: ${event}\ndata: piece ${event}\n\n`);
      } else {
        clearInterval(timer);
        response.end();
      }
    }, EVENT_MILLISECONDS);
    response.on('close', () => clearInterval(timer));
  }
}

/** One client attempt; ends with the answer, or at a gap that is too long. */
function attempt({ ip, frontPort }, id, deadline, progress, headers = {}) {
  const from = progress.last;
  return new Promise((resolve) => {
    let timer;
    let request;
    let status = 0;
    let isSettled = false;
    const settle = (end) => {
      if (!isSettled) {
        isSettled = true;
        clearTimeout(timer);
        resolve({ status, end, events: progress.last - from });
        request.destroy();
      }
    };
    const watch = () => {
      clearTimeout(timer);
      timer = setTimeout(() => settle('gap'), GAP_MILLISECONDS);
    };
    request = http.request(
      {
        host: ip,
        port: frontPort,
        method: 'POST',
        path: '/desk/a',
        agent: false,
        headers: {
          host: HOST,
          authorization: `Token ${CREDENTIAL}`,
          'x-figline-request-id': id,
          'x-figline-deadline-ms': Math.round(deadline),
          'x-figline-model': MODEL,
          'x-figline-token-counts': '826,90',
          'x-figline-prompt-prefix': `5c1e:198,${Buffer.from(progress.id).toString('hex')}:628`,
          'content-length': 6,
          ...headers,
        },
      },
      (response) => {
        status = response.statusCode;
        response.on('data', (bytes) => {
          watch();
          const ids = [...bytes.toString().matchAll(/^id: (\d+)$/gm)].map(([, value]) => +value);
          progress.last = Math.max(progress.last, ...ids);
        });
        response.on('end', () => settle(response.complete ? 'complete' : 'cut'));
        response.on('error', () => settle('cut'));
      },
    );
    request.on('error', () => settle('cut'));
    watch();
    request.end('prompt');
  });
}

/** A stream, which its client takes up once at another machine if it breaks. */
async function stream(id, first, other) {
  const startedAt = performance.now();
  const progress = { id, last: 0 };
  const begun = await attempt(first, id, DEADLINE_MILLISECONDS, progress);
  if (begun.end === 'complete' || progress.last === 0) {
    return { id, hasBegun: progress.last > 0 };
  }
  const left = DEADLINE_MILLISECONDS - (performance.now() - startedAt);
  const again = await attempt(other, `${id}-again`, left, progress, {
    'last-event-id': progress.last,
    resumes: id,
  });
  record.add(
    `${id}: ${begun.end} after event ${progress.last - again.events}; taken up at ${other.name}: ` +
      `status ${again.status}, ${again.events} more events`,
  );
  return { id, hasBegun: true, isTakenUp: true, goesOn: again.events > 0 };
}

const engines = [1, 2, 3].map((number) => new StreamEngine(`i-${number}`, 'v1'));
const added = new StreamEngine('i-4', 'v2');

await runCase(deployment, record, [...engines, added], async () => {
  await Promise.all([...engines, added].map((engine) => engine.listen()));
  deployment.instances = engines.map(({ instance }) => instance);
  const tenants = [{ name: 'depot', api_keys: [CREDENTIAL], priority: 1, isolated: false }];
  const manifest = deskManifest(1, MODEL, tenants, HOST);
  Object.assign(manifest.routes[0], {
    timeout_ms: DEADLINE_MILLISECONDS,
    target_latency_ms: 400,
    max_attempts: 3,
    resumable: true,
  });
  await deployment.start(manifest);
  await pause(STABLE_MILLISECONDS);
  const [frozen, ...others] = deployment.gateways;
  const begun = Array.from({ length: STREAMS }, (_, index) =>
    stream(`stream-${index}`, frozen, others[index % others.length]),
  );
  await pause(1_000);
  if (isTroubled) {
    frozen.signal('SIGSTOP');
    record.add(`${frozen.name} freezes`);
    setTimeout(() => {
      frozen.signal('SIGCONT');
      record.add(`${frozen.name} goes on`);
    }, FROZEN_MILLISECONDS);
  }
  await pause(300);
  deployment.instances = [...deployment.instances, added.instance];
  record.add('a runner of software version v2 is added; three of v1 go on to serve');
  await pause(1_500);
  const fresh = Array.from({ length: STREAMS }, (_, index) =>
    stream(`new-${index}`, others[index % others.length], others[(index + 1) % others.length]),
  );
  const ended = await Promise.all(begun);
  const news = await Promise.all(fresh);
  const takenUp = ended.filter(({ isTakenUp }) => isTakenUp);
  const goOn = takenUp.filter(({ goesOn }) => goesOn);
  const newBegun = news.filter(({ hasBegun }) => hasBegun);
  record.add(`streams taken up: ${takenUp.length}, of which go on: ${goOn.length}`);
  record.add(
    `new streams at the same machines: ${news.length}, of which begin: ${newBegun.length}`,
  );
  if (isTroubled && takenUp.length < 12) {
    throw new Error('fewer than 12 streams were taken up');
  }
  const share = takenUp.length === 0 ? 1 : goOn.length / takenUp.length;
  return share < newBegun.length / news.length / 2;
});
