import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as cutCases from './cut-cases';
import * as builder from './gateway-builder';
import * as rawServer from './raw-server';

const suite = uvu.suite('streams, interim answers and bodiless answers that break off');

// Guards against a stream without a length that ends inside an event and looks complete.
suite('a stream without a length is complete only between two events', async () => {
  const head = cutCases.headOf(cutCases.ID_PATTERN, cutCases.Framing.Close, cutCases.Kind.Stream);
  const places = cutCases.range(head.length, head.length + cutCases.STREAM.length);
  const bytesOf = (id: string) =>
    cutCases.headOf(id, cutCases.Framing.Close, cutCases.Kind.Stream) + cutCases.STREAM;
  const cuts = {
    name: cutCases.Framing.Close,
    kind: cutCases.Kind.Stream,
    ending: 'end',
    places,
    bytesOf,
  } as const;
  const results = await cutCases.runCases(cutCases.cutCases(cuts));
  const boundaries = ['', rawServer.events(false, 1)];
  results.forEach((result) => cutCases.check(result, (text) => boundaries.includes(text)));
  const whole = results.filter(({ answer }) => answer?.status === 200 && answer.isComplete);
  assert.is(whole.length, boundaries.length);
});

// Guards against an answer that is taken from the interim head before it, or from a status without a body.
suite('no cut of a head behind an interim head, or without a body, is a success', async () => {
  const interim = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
  const closing = 'HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n';
  const asked = 'HTTP/1.1 100 Continue\r\n\r\n';
  const framed = (id: string) =>
    cutCases.headOf(id, cutCases.Framing.Length, cutCases.Kind.NotIdempotent) + cutCases.TEXT;
  const unframed = (id: string) =>
    cutCases.headOf(id, cutCases.Framing.Close, cutCases.Kind.NotIdempotent);
  const lists: Record<string, (id: string) => string> = {
    'an interim head': (id) => interim + framed(id),
    'an interim head without a length': (id) => interim + unframed(id),
    'two interim heads': (id) => interim + interim + framed(id),
    'an interim head that closes': (id) => closing + framed(id),
    'a head to go on': (id) => asked + framed(id),
    'no content': (id) =>
      cutCases.headOf(id, cutCases.Framing.OldClose, cutCases.Kind.NotIdempotent, '204 No Content'),
    'not modified': (id) =>
      cutCases.headOf(
        id,
        cutCases.Framing.OldClose,
        cutCases.Kind.NotIdempotent,
        '304 Not Modified',
      ),
    'an empty body': (id) =>
      cutCases
        .headOf(id, cutCases.Framing.Length, cutCases.Kind.NotIdempotent)
        .replace(/Content-Length: \d+/, 'Content-Length: 0'),
  };
  const cases = Object.entries(lists).flatMap(([name, bytesOf]) =>
    cutCases.ENDINGS.flatMap((ending) => {
      const places = cutCases.everyNth(cutCases.range(0, bytesOf(cutCases.ID_PATTERN).length), 2);
      return cutCases.cutCases({
        name,
        kind: cutCases.Kind.NotIdempotent,
        ending,
        places,
        bytesOf,
      });
    }),
  );
  const results = await cutCases.runCases(cases);
  results.forEach((result) => cutCases.check(result, () => false));
});

/** Requests a stream whose first server breaks it off behind its first event; the next server's answer is cut. */
function resumedCuts(framing: cutCases.Framing): cutCases.Case[] {
  const kind = cutCases.Kind.ResumableStream;
  const bytesOf = (id: string) =>
    cutCases.headOf(id, framing, kind) +
    (framing === cutCases.Framing.Chunks ? cutCases.framedBody(framing, kind) : '');
  return cutCases.ENDINGS.flatMap((ending) => {
    const places = cutCases.range(0, cutCases.headOf(cutCases.ID_PATTERN, framing, kind).length);
    return cutCases
      .cutCases({ name: `${framing}, resumed`, kind, ending, places, bytesOf })
      .map((given) => {
        const head = rawServer.streamHead(given.id, true);
        const begun: rawServer.RawAnswer = () => ({
          bytes: head + rawServer.events(true, 1),
          then: 'reset',
        });
        return { ...given, answers: [begun, ...given.answers] };
      });
  });
}

// Guards against a stream that ends as complete because the answer that goes on with it broke off in its head.
suite('a stream that goes on with a cut head never looks complete', async () => {
  const cases = [cutCases.Framing.Length, cutCases.Framing.Chunks, cutCases.Framing.Close].flatMap(
    resumedCuts,
  );
  const results = await cutCases.runCases(cases);
  results.forEach((result) => {
    const { given, answer, attempts } = result;
    cutCases.check(result, () => false);
    assert.is(attempts.length, 2, given.name);
    assert.match(attempts[1].head, /^last-event-id: 1$/im, given.name);
    assert.is(answer?.text, rawServer.events(false, 1), given.name);
  });
});

// Guards against a part of an answer without a length that looks whole: its server ended and was started again at once.
[cutCases.Kind.NotIdempotent, cutCases.Kind.Stream].forEach((kind) => {
  suite(
    `an answer without a length of a server that has restarted is not complete (${kind})`,
    async () => {
      const part = cutCases.isStream(kind) ? rawServer.events(false, 1) : 'seven';
      const server: rawServer.RawServer = new rawServer.RawServer('i-1', ({ id }) => {
        server.born += 1;
        return { bytes: cutCases.headOf(id, cutCases.Framing.Close, kind) + part, then: 'end' };
      });
      await new builder.GatewayBuilder([server]).run(async (gateway) => {
        const answer = await gateway.send('POST', `${kind}7`);
        assert.ok(!answer.isComplete || answer.status === 502, `${answer.status} ${answer.text}`);
      });
    },
  );
});

// Guards against a restarted server whose answers without a length are never taken again.
suite('answers without a length of a server that restarted earlier are complete', async () => {
  const kind = cutCases.Kind.NotIdempotent;
  const server: rawServer.RawServer = new rawServer.RawServer('i-1', ({ id }) => {
    server.born = 2;
    return {
      bytes: cutCases.headOf(id, cutCases.Framing.Close, kind) + cutCases.TEXT,
      then: 'end',
    };
  });
  await new builder.GatewayBuilder([server]).run(async (gateway) => {
    const first = await gateway.send('POST', `${kind}0`);
    assert.is(first.status, 502);
    let isTaken = false;
    for (let turn = 1; turn <= 100 && !isTaken; turn += 1) {
      const { status, text } = await gateway.send('POST', `${kind}${turn}`);
      isTaken = status === 200 && text === cutCases.TEXT;
    }
    assert.ok(isTaken);
  });
});

suite.run();
