import * as net from 'node:net';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as wire from '../../src/wire';

const suite = uvu.suite('wire');

const KEY = 'right-key';

interface Outcome {
  readonly reason: wire.LinkCloseReason;
  readonly wasReady: boolean;
}

/** An accepting side; `outcome` resolves when its first link closes. */
class Accepting {
  readonly time = new clock.ManualClock();

  readonly messages: wire.WireMessage[] = [];

  link: wire.Link | undefined;

  readonly outcome: Promise<Outcome>;

  private readonly server: net.Server;

  constructor(preSharedKey = KEY) {
    this.server = net.createServer();
    this.outcome = new Promise((resolve) => {
      let wasReady = false;
      this.server.on('connection', (socket) => {
        this.link = new wire.Link(socket, options('accepting', preSharedKey, this.time), {
          onReady: () => {
            wasReady = true;
          },
          onMessage: (_, message) => this.messages.push(message),
          onClosed: (_, reason) => {
            this.server.close();
            resolve({ reason, wasReady });
          },
        });
      });
    });
  }

  async connect(): Promise<net.Socket> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.server.address() as net.AddressInfo;
    const socket = net.connect(port, '127.0.0.1');
    await new Promise((resolve) => {
      socket.once('connect', resolve);
    });
    return socket;
  }
}

function options(daemonId: string, preSharedKey: string, time: clock.Clock): wire.LinkOptions {
  const identity = { daemonId, zone: 'zone', address: `${daemonId}:1` };
  return { identity, preSharedKey, clock: time, heartbeat: () => ({ revision: 1 }) };
}

/** A link that resolves once it is ready or closed. */
function dial(socket: net.Socket, daemonId: string, preSharedKey = KEY): Promise<wire.Link> {
  return new Promise((resolve) => {
    const time = new clock.ManualClock();
    const link = new wire.Link(socket, options(daemonId, preSharedKey, time), {
      onReady: () => resolve(link),
      onMessage: () => {},
      onClosed: () => resolve(link),
    });
  });
}

async function until(holds: () => boolean): Promise<void> {
  for (let waited = 0; !holds(); waited += 1) {
    assert.ok(waited < 10_000);
    await new Promise(setImmediate);
  }
}

function frameOf(body: Buffer): Buffer {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
}

/** Guards against a daemon of another deployment, or an attacker, that sends replica messages. */
suite('a peer with another pre-shared key is disconnected before any message', async () => {
  const accepting = new Accepting();
  const link = await dial(await accepting.connect(), 'stranger', 'wrong-key');
  assert.equal(await accepting.outcome, {
    reason: wire.LinkCloseReason.WrongKey,
    wasReady: false,
  });
  assert.is(link.peer, undefined);
});

/** Guards against an attacker without the key who sends a daemon's own Hello and Proof back to it. */
suite('a peer that echoes every frame is not authenticated', async () => {
  const accepting = new Accepting();
  const socket = await accepting.connect();
  socket.pipe(socket);
  const outcome = await accepting.outcome;
  assert.equal(outcome, { reason: wire.LinkCloseReason.OwnConnection, wasReady: false });
});

/** Guards against clients that open connections and occupy sockets without authentication. */
suite('a peer that sends nothing is disconnected after 2 s', async () => {
  const accepting = new Accepting();
  const socket = await accepting.connect();
  await new Promise((resolve) => {
    socket.once('data', resolve);
  });
  accepting.time.advance(wire.HANDSHAKE_TIMEOUT_MILLISECONDS - 1);
  assert.is(socket.destroyed, false);
  accepting.time.advance(1);
  assert.is((await accepting.outcome).reason, wire.LinkCloseReason.HandshakeTimeout);
});

/** Guards against a length field that makes a daemon wait for, or allocate, gigabytes. */
suite('an oversized frame closes the link, before and after the handshake', async () => {
  const before = new Accepting();
  (await before.connect()).write(Buffer.from([0, 0, 8, 0]));
  assert.is((await before.outcome).reason, wire.LinkCloseReason.Oversized);
  const after = new Accepting();
  const socket = await after.connect();
  await dial(socket, 'dialing');
  socket.write(Buffer.from([1, 0, 0, 1]));
  assert.is((await after.outcome).reason, wire.LinkCloseReason.Oversized);
});

/** Guards against a crash of the daemon on bytes that are not a message. */
suite('malformed frames close the link', async () => {
  const bodies = [Buffer.from([0xff]), wire.encode(5), wire.encode({ kind: 7 }), Buffer.alloc(0)];
  for (const body of bodies) {
    const accepting = new Accepting();
    const socket = await accepting.connect();
    await dial(socket, 'dialing');
    socket.write(frameOf(body));
    assert.is((await accepting.outcome).reason, wire.LinkCloseReason.Malformed);
  }
});

/** Guards against a connection that is open but on which nothing arrives any more. */
suite('a link closes after three missed heartbeats', async () => {
  const accepting = new Accepting();
  await dial(await accepting.connect(), 'dialing');
  for (let waited = 0; accepting.link?.peer === undefined; waited += 1) {
    assert.ok(waited < 1_000);
    await new Promise(setImmediate);
  }
  accepting.time.advance(3_000);
  assert.ok(accepting.link?.send({ kind: 'still-open' }));
  accepting.time.advance(1_100);
  assert.is((await accepting.outcome).reason, wire.LinkCloseReason.Silent);
});

/** Guards against a heartbeat that waited in a buffer, for example of a suspended VM, and counts as just sent. */
suite('a heartbeat counts as sent after the last one that its sender had received', async () => {
  const accepting = new Accepting();
  const dialing = await dial(await accepting.connect(), 'dialing');
  await until(() => accepting.link?.peer !== undefined && accepting.messages.length > 0);
  const openedAt = accepting.link!.peerSentAfter;
  accepting.time.advance(700);
  dialing.sendHeartbeat();
  await until(() => accepting.messages.length > 1);
  assert.is(accepting.link!.peerSentAfter, openedAt);
  accepting.link!.sendHeartbeat();
  accepting.time.advance(50);
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  dialing.sendHeartbeat();
  await until(() => accepting.messages.length > 2);
  assert.is(accepting.link!.peerSentAfter, openedAt + 700);
  dialing.close(wire.LinkCloseReason.ClosedLocally);
  await accepting.outcome;
});

/** Guards against messages that are lost or joined when TCP splits or merges them. */
suite('frames are decoded from any division of the byte stream', () => {
  const reader = new wire.FrameReader();
  const sent = [1, 2, 3].map((value) => ({ kind: 'k', value, text: 'x'.repeat(value * 50) }));
  const stream = Buffer.concat(sent.map((message) => wire.encodeFrame(message).unwrap()));
  const received: (wire.WireMessage | undefined)[] = [];
  for (let offset = 0; offset < stream.length; offset += 7) {
    reader.push(stream.subarray(offset, offset + 7));
    let next = reader.next().unwrap();
    while (next !== undefined) {
      received.push(next);
      next = reader.next().unwrap();
    }
  }
  assert.equal(received, sent);
});

suite.run();
