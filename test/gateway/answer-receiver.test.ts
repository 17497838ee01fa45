import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as answerReceiver from '../../src/gateway/answer-receiver';
import * as bufferBudget from '../../src/gateway/buffer-budget';
import type * as relayReply from '../../src/gateway/relay-reply';
import * as verdict from '../../src/verdict';

const suite = uvu.suite('answer receiver');

/** A receiver with a fake reply and a fake server that count their calls. */
class Received {
  events = 0;

  arrivals = 0;

  cancelled = 0;

  heads = 0;

  settled = 0;

  pauses = 0;

  resumes = 0;

  written = '';

  drained: (() => void) | undefined;

  closeReply: (() => void) | undefined;

  failure: verdict.RequestFailure | undefined;

  readonly progress: answerReceiver.DeliveryProgress = { events: 0 };

  readonly ports: {
    -readonly [Name in keyof answerReceiver.ReceiverPorts]: answerReceiver.ReceiverPorts[Name];
  };

  readonly receiver: answerReceiver.AnswerReceiver;

  constructor(
    isSlow = false,
    readonly budget = new bufferBudget.BufferBudget(),
  ) {
    const reply = {
      writeHead: () => {
        this.heads += 1;
      },
      write: (bytes: Buffer, onDrained: () => void) => {
        this.written += bytes.toString();
        this.drained = onDrained;
        return !isSlow;
      },
      send: (_head: unknown, body: Buffer) => {
        this.written += body.toString();
      },
      end: () => {},
      onClosed: (listener: () => void) => {
        this.closeReply = listener;
      },
    } as unknown as relayReply.RelayReply;
    this.ports = {
      reply,
      progress: this.progress,
      isCurrent: () => true,
      onEvent: () => {
        this.events += 1;
      },
      onArrival: () => {
        this.arrivals += 1;
      },
      onLoad: () => {},
      onLimits: () => {},
      onLeaving: () => {},
      bufferBudget: budget,
    };
    this.receiver = new answerReceiver.AnswerReceiver(this.ports, (failure) => {
      this.settled += 1;
      this.failure = failure;
    });
    this.receiver.handle = {
      pause: () => {
        this.pauses += 1;
      },
      resume: () => {
        this.resumes += 1;
      },
      cancel: () => {},
      reject: ({ reason, message }) => {
        this.cancelled += 1;
        const failure = verdict.failure(reason, verdict.Verdict.MayHaveRun, message);
        this.receiver.onFailure(failure, undefined);
      },
    };
  }

  start(type: string): this {
    this.receiver.onHead({ status: 200, headers: { 'content-type': type } }, undefined);
    return this;
  }

  /** Sends a text repeatedly until the receiver fails; returns the number of bytes sent. */
  flood(text: string, maximumBytes: number): number {
    let bytes = 0;
    while (this.failure === undefined && bytes < maximumBytes) {
      this.receiver.onData(Buffer.from(text));
      bytes += text.length;
    }
    return bytes;
  }
}

const EVENTS = 'text/event-stream';

const MEBIBYTE = 1_024 * 1_024;

// Guards against a server that counts as responsive, and an attempt that goes on, although no event arrives.
[': idle\n\n', ': idle\n', '\n', 'da'].forEach((drip) => {
  suite(
    `endless ${JSON.stringify(drip)} counts neither as an event nor as a response, and ends`,
    () => {
      const received = new Received().start(EVENTS);
      received.receiver.onData(Buffer.from('id: 1\ndata: a\n\n'));
      const { arrivals, events } = received;
      const bytes = received.flood(drip, MEBIBYTE);
      assert.is(received.arrivals, arrivals);
      assert.is(received.events, events);
      assert.ok(received.failure !== undefined, `${bytes} bytes did not end the attempt`);
      assert.is(received.failure?.verdict, verdict.Verdict.MayHaveRun);
      assert.is(received.failure?.reason, verdict.FailureReason.BackendError);
      assert.is(received.cancelled, 1);
    },
  );
});

suite('an endless repetition of delivered events is cancelled', () => {
  const received = new Received().start(EVENTS);
  received.flood('id: 1\ndata: a\n\n', MEBIBYTE);
  assert.is(received.events, 1);
  assert.ok(received.failure !== undefined);
});

suite('comments between events are delivered, whatever their total number', () => {
  const received = new Received().start(EVENTS);
  const comments = ': idle\n\n'.repeat(1_024);
  let expected = '';
  for (let id = 1; id <= 256; id += 1) {
    const text = `${comments}id: ${id}\ndata: a\n\n`;
    expected += text;
    received.receiver.onData(Buffer.from(text));
  }
  received.receiver.onEnd();
  assert.is(received.failure, undefined);
  assert.is(received.written, expected);
  assert.is(received.progress.events, 256);
});

// Guards against a daemon that buffers the large answers of many requests.
suite('a large answer is not buffered whole for a slow caller', () => {
  const received = new Received(true).start('application/json');
  const part = 'sacks and sacks\n'.repeat(1_024);
  let sent = '';
  while (received.pauses === 0 && sent.length < 8 * MEBIBYTE) {
    sent += part;
    received.receiver.onData(Buffer.from(part));
  }
  assert.is(received.pauses, 1, 'the server was not paused');
  assert.ok(sent.length <= MEBIBYTE, `${sent.length} bytes were buffered`);
  received.drained?.();
  assert.is(received.resumes, 1);
  received.receiver.onData(Buffer.from(part));
  received.receiver.onEnd();
  received.progress.complete?.({});
  assert.is(received.written, sent + part);
});

// Guards against an answer that one server begins and another one ends or repeats.
suite('an answer that breaks after its first bytes were sent is not retried', () => {
  const received = new Received().start('application/json');
  received.receiver.onData(Buffer.alloc(MEBIBYTE, 's'));
  assert.is(received.written.length, MEBIBYTE);
  const { ConnectionLost } = verdict.FailureReason;
  const lost = verdict.failure(ConnectionLost, verdict.Verdict.MayHaveRun, 'lost');
  received.receiver.onFailure(lost, undefined);
  assert.not(verdict.mayRetry(received.failure!.verdict, true));
  const again = new answerReceiver.AnswerReceiver(received.ports, (failure) => {
    received.failure = failure;
  });
  again.onHead({ status: 200, headers: {} }, undefined);
  assert.is(received.failure?.reason, verdict.FailureReason.BackendError);
  assert.is(received.written.length, MEBIBYTE);
});

// Guards against many requests that each buffer a little and together exceed the memory of the daemon.
suite('all requests together buffer no more than the shared limit', () => {
  const budget = new bufferBudget.BufferBudget(MEBIBYTE);
  const open = (type: string) => new Received(false, budget).start(type);
  const part = Buffer.alloc(100_000, 's');
  const answers = Array.from({ length: 32 }, () => open('application/json'));
  answers.forEach((answer) => answer.receiver.onData(part));
  assert.ok(budget.usedBytes <= MEBIBYTE / 2);
  const begun = answers.filter(({ written }) => written.length === part.length);
  assert.is(begun.length, 27);
  const streams = Array.from({ length: 32 }, () => open(EVENTS));
  streams.forEach((answer) => answer.receiver.onData(part));
  assert.ok(budget.usedBytes <= MEBIBYTE);
  assert.is(streams.filter(({ failure }) => failure !== undefined).length, 27);
  streams.forEach((answer) => answer.receiver.onData(Buffer.from('\n\n')));
  answers.forEach((answer) => answer.receiver.onEnd());
  assert.is(budget.usedBytes, 5 * part.length, 'answers that nobody has read are not counted');
  answers.forEach(({ closeReply }) => closeReply?.());
  assert.is(budget.usedBytes, 0);
});

// Guards against streams that are cancelled because buffered answers use up the whole shared budget.
suite('many buffered answers leave room for events', () => {
  const budget = new bufferBudget.BufferBudget(MEBIBYTE);
  const answers = Array.from({ length: 64 }, () => new Received(false, budget).start('text/plain'));
  answers.forEach((answer) => answer.receiver.onData(Buffer.alloc(100_000, 's')));
  const stream = new Received(false, budget).start(EVENTS);
  stream.receiver.onData(Buffer.from('id: 1\ndata: a'));
  assert.is(stream.failure, undefined);
});

// Guards against a run that is given up while it delivers, because other servers send events without an end.
suite('a stream with usual events goes on when others use up the shared limit', () => {
  const budget = new bufferBudget.BufferBudget(MEBIBYTE);
  const endless = Array.from({ length: 16 }, () => new Received(false, budget).start(EVENTS));
  endless.forEach(({ receiver }) => receiver.onData(Buffer.alloc(MEBIBYTE / 8, 's')));
  const stream = new Received(false, budget).start(EVENTS);
  for (let id = 1; id < 50; id += 1) {
    stream.receiver.onData(Buffer.from(`id: ${id}\ndata: `));
    stream.receiver.onData(Buffer.from(`${'a'.repeat(500)}\n\n`));
  }
  assert.is(stream.failure, undefined);
  assert.is(stream.events, 49);
});

suite('a small answer is not sent before it is complete', () => {
  const received = new Received().start('application/json');
  received.receiver.onData(Buffer.from('7 sacks'));
  assert.is(received.written, '');
  received.receiver.onEnd();
  received.progress.complete?.({});
  assert.is(received.written, '7 sacks');
});

// Guards against small parts of an answer that retain the large buffers in which they arrived.
suite('buffered parts of an answer do not share memory with the buffers that arrived', () => {
  const received = new Received().start('application/json');
  const part = Buffer.from('sacks');
  received.receiver.onData(part);
  part.fill(0);
  received.receiver.onEnd();
  received.progress.complete?.({});
  assert.is(received.written, 'sacks');
});

suite('an endless body is cancelled', () => {
  const received = new Received().start('application/json');
  received.flood('sacks and sacks\n'.repeat(4_096), 64 * MEBIBYTE);
  assert.is(received.failure?.reason, verdict.FailureReason.BackendError);
  assert.is(received.cancelled, 1);
});

// Guards against the head of a cancelled attempt before the events of the next one.
suite('an attempt that was cancelled before its end was known writes nothing', () => {
  const received = new Received();
  let isCurrent = true;
  received.ports.isCurrent = () => isCurrent;
  received.start(EVENTS);
  received.receiver.onData(Buffer.from(': wait\n\n'));
  isCurrent = false;
  received.receiver.onEnd();
  assert.is(received.heads, 0);
  assert.is(received.written, '');
  assert.is(received.progress.complete, undefined);
  assert.is(received.settled, 1);
});

// Guards against the first events of a stream that are delivered twice, because no id tells another run where to go on.
suite('a stream that begins behind events without ids is rejected at its head', () => {
  const received = new Received();
  received.progress.events = 1;
  received.receiver.onHead(
    { status: 200, headers: { 'content-type': 'text/event-stream' } },
    undefined,
  );
  received.receiver.onData(Buffer.from('data: piece 1\n\n'));
  assert.is(received.written, '');
  assert.is(received.failure?.verdict, verdict.Verdict.Ran);
});

suite.run();
