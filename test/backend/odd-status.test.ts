import * as net from 'node:net';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as results from 'ts-results';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as lifecycle from '../../src/lifecycle';
import * as verdict from '../../src/verdict';
import * as build from './build';

const suite = uvu.suite('answers of backend servers whose status is none');
suite.after.each(build.closeOwners);

const ODD_STATUSES = ['000 None', '001 One', '099 Low', '101 Switching', '600 High', '999 Last'];

const NONE: (id: string) => string = () => '';

/** Writes one answer to each request, with the id that it echoes, and keeps the connection. */
class OddServer {
  /** The answer to a request with this id. */
  answer = NONE;

  /** Requests that have arrived; calls that cancel an earlier one are not counted. */
  requests = 0;

  private readonly sockets = new Set<net.Socket>();

  private readonly server = net.createServer((socket) => {
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', (chunk) => {
      const head = chunk.toString();
      this.requests += head.includes('/backend/cancel') ? 0 : 1;
      const [, id = ''] = /^x-request-id: (\S+)/im.exec(head) ?? [];
      socket.write(this.answer(id));
    });
  });

  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  async listen(owner: lifecycle.LifecycleManager): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    owner.register('odd server', async () => {
      this.sockets.forEach((socket) => socket.destroy());
      this.server.close();
    });
  }
}

/** Answers with an odd status: with a body, and before an answer that would be taken. */
function oddAnswers(id: string, status: string): string[] {
  const rest = `x-request-id: ${id}\r\ncontent-length: 2\r\n\r\n{}`;
  const refusal = `x-request-id: ${id}\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n`;
  return [
    `HTTP/1.1 ${status}\r\n${rest}`,
    `HTTP/1.1 ${status}\r\n\r\nHTTP/1.1 200 OK\r\n${rest}`,
    `HTTP/1.1 ${status}\r\n${refusal}`,
  ];
}

type Outcome = results.Result<unknown, verdict.RequestFailure>;

type Call = (port: number, owner: lifecycle.LifecycleManager) => () => Promise<Outcome>;

const CALLS: Record<string, Call> = {
  'a request of a plain service': (port, owner) => {
    const adapter = build.buildPlainAdapter(owner, port, build.PATIENT_LIMITS);
    return () => adapter.call(build.charge({ timeoutMilliseconds: 20_000 }));
  },
  'a probe of a plain service': (port, owner) => {
    const adapter = build.buildPlainAdapter(owner, port, build.PATIENT_LIMITS);
    return () => adapter.probe();
  },
  'a stream of an engine': (port, owner) => {
    const adapter = build.buildEngineAdapter(owner, port, build.PATIENT_LIMITS);
    return () => adapter.start(build.engineRequest('odd'));
  },
  'a probe of an engine': (port, owner) => {
    const adapter = build.buildEngineAdapter(owner, port, build.PATIENT_LIMITS);
    return () => adapter.probe();
  },
  'a load report of an engine': (port, owner) => {
    const adapter = build.buildEngineAdapter(owner, port, build.PATIENT_LIMITS);
    return () => adapter.load();
  },
  'cache events of an engine': (port, owner) => {
    const adapter = build.buildEngineAdapter(owner, port, build.PATIENT_LIMITS);
    return () => adapter.cacheEvents(0);
  },
  'an order to an engine': (port, owner) => {
    const adapter = build.buildEngineAdapter(owner, port, build.PATIENT_LIMITS);
    return () => adapter.order({ value: '3', fencingNumber: 1 } as backend.EngineOrder);
  },
  'a read of the list of VMs': (port) => {
    const address = build.address(port);
    const list = new backend.HttpMachineList(
      address,
      new clock.SystemClock(),
      build.PATIENT_LIMITS,
    );
    return () => list.read();
  },
};

// Guards against a head without a valid status that is passed over or taken as an answer or a refusal.
Object.entries(CALLS).forEach(([name, prepare]) => {
  suite(`an odd status is a malformed answer to ${name}`, async () => {
    const owner = build.buildOwner();
    const server = new OddServer();
    await server.listen(owner);
    const call = prepare(server.port, owner);
    for (const status of ODD_STATUSES) {
      for (const index of oddAnswers('', status).keys()) {
        const { requests } = server;
        server.answer = (id) => oddAnswers(id, status)[index];
        const outcome = await call();
        const seen = JSON.stringify([oddAnswers('', status)[index], outcome.val]);
        assert.ok(outcome.err, seen);
        assert.is(outcome.val.malformed, true, seen);
        assert.is(outcome.val.verdict, verdict.Verdict.MayHaveRun, seen);
        assert.is(server.requests, requests + 1, seen);
      }
    }
  });
});

suite.run();
