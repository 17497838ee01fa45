import * as http from 'node:http';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as deployFile from '../../tools/local/deploy-file';
import * as loopbackEnvironment from '../../tools/local/loopback-environment';
import * as platformProcess from '../../tools/local/platform-process';
import * as builtCheckout from './built-checkout';
import * as fakeBackendServer from './fake-backend-server';
import * as builder from './gateway-builder';

const suite = uvu.suite('streams of a gateway that stands still');

const PIECES = 4;
const STREAMS = 5;

/** Pauses before the last piece, unless the caller has received pieces before. */
const pausing: fakeBackendServer.ServerBehaviour = (request, response) => {
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  response.writeHead(200, {
    ...fakeBackendServer.sealed(request),
    'content-type': 'text/event-stream',
  });
  for (let id = first; id < PIECES + (first === 1 ? 0 : 1); id += 1) {
    response.write(`id: ${id}\ndata: piece\n\n`);
  }
  if (first > 1) {
    response.end();
  }
};

const checkout = new builtCheckout.BuiltCheckout();
const environment = new loopbackEnvironment.LoopbackEnvironment();
const started: platformProcess.PlatformProcess[] = [];
const servers = ['v1', 'v1', 'v2'].map(
  (version, index) => new fakeBackendServer.FakeBackendServer(`i-${index}`, [pausing], version),
);

suite.before(async () => {
  checkout.build();
  await Promise.all(servers.map((server) => server.listen()));
  await environment.start();
});

suite.after(async () => {
  await Promise.all(started.map((process) => process.stop('SIGKILL')));
  await Promise.all(servers.map((server) => server.close()));
  await environment.stop();
  checkout.remove();
});

// Guards against streams that are refused everywhere because only a gateway that stands still knows their version.
suite('go on at another gateway after a second software version has come', async () => {
  listServers(2);
  const core = environment.controlDaemon('core-1');
  const control = start(deployFile.Role.Control, core);
  await control.waitForLog('started');
  await loopbackEnvironment.putRouting(core, patientDocument());
  const [frozen, other] = ['front-1', 'front-2'].map((name) => {
    const node = environment.gateway(name);
    return { node, process: start(deployFile.Role.Gateway, node) };
  });
  await Promise.all([frozen, other].map(({ process }) => process.waitForLog('ready')));

  const ids = Array.from({ length: STREAMS }, (_, index) => `stream-${index}`);
  const begun = await Promise.all(ids.map((id) => receive(frozen.node.url, id)));
  begun.forEach(({ status, pieces }) => assert.equal([status, pieces], [200, PIECES - 1]));
  // Longer than the gateway takes to report its streams, and the leader to record them.
  await pause(REPORT_MILLISECONDS);
  frozen.process.signal('SIGSTOP');
  listServers(3);
  await until(() => control.log.some(({ added }) => added === 'v2'));

  const headers = { 'last-event-id': String(PIECES - 1) };
  for (const id of ids) {
    const rest = await receive(other.node.url, `${id}-again`, { ...headers, resumes: id });
    assert.equal([rest.status, rest.pieces], [200, 1]);
  }
  const unknown = await receive(other.node.url, 'x', { ...headers, resumes: 'nobody' });
  assert.is(unknown.status, 503);
  assert.is(servers[2].requests.filter(({ headers: { resumes } }) => resumes).length, 0);
});

suite.run();

function listServers(count: number): void {
  environment.listedServers = servers.slice(0, count).map(({ id, port, softwareVersion }) => ({
    id,
    service: 'desk',
    addr: `127.0.0.1:${port}`,
    softwareVersion,
    models: [{ name: 'desk-model', version: 3 }],
  }));
}

function start(
  role: deployFile.Role,
  { settingsFile }: loopbackEnvironment.PlatformNode,
): platformProcess.PlatformProcess {
  const command = deployFile.commandOf(role, checkout.root);
  const child = platformProcess.PlatformProcess.start(command, checkout.root, settingsFile);
  started.push(child);
  return child;
}

/** Long timeouts of routes, which a busy machine must not reach; they are not tested here. */
function patientDocument(): object {
  return builder.document(PATIENCE_MILLISECONDS);
}

/** Receives the pieces that come before the answer ends, or before the server pauses. */
function receive(
  url: string,
  id: string,
  headers: http.OutgoingHttpHeaders = {},
): Promise<{ readonly status?: number; readonly pieces: number }> {
  return new Promise((resolve, reject) => {
    const options = {
      method: 'POST',
      agent: false,
      headers: {
        host: 'desk.example',
        authorization: `Token ${builder.CREDENTIAL}`,
        'x-figline-request-id': id,
        'x-figline-deadline-ms': PATIENCE_MILLISECONDS,
        ...headers,
      },
    };
    const request = http.request(`${url}/reply/1`, options, (response) => {
      let text = '';
      const result = () => ({
        status: response.statusCode,
        pieces: text.split('data: piece').length - 1,
      });
      response.on('data', (bytes) => {
        text += bytes;
        if (result().pieces === PIECES - 1) {
          resolve(result());
        }
      });
      response.on('end', () => resolve(result()));
      response.on('error', () => resolve(result()));
    });
    request.on('error', reject);
    request.end();
  });
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await pause(POLL_MILLISECONDS);
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

const POLL_MILLISECONDS = 20;
const REPORT_MILLISECONDS = 1_000;
const PATIENCE_MILLISECONDS = 60_000;
