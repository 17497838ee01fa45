import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as builder from './gateway-builder';
import * as rawServer from './raw-server';

const suite = uvu.suite('errors behind a stream that has begun');

/** Servers that share a list of answers, one for each attempt. */
function createServers(...answers: rawServer.RawAnswer[]): rawServer.RawServer[] {
  return ['i-1', 'i-2', 'i-3'].map(
    (id) =>
      new rawServer.RawServer(id, (request) =>
        (answers.length > 1 ? answers.shift()! : answers[0])(request),
      ),
  );
}

/** Checks that a caller has received events only, each once and in order. */
function assertEventsOnly({ text }: builder.Answer, count: number): void {
  const expected = Array.from({ length: count }, (_, index) => index + 1);
  assert.is(text, rawServer.events(false, ...expected));
}

[true, false].forEach((isChunked) => {
  const framing = isChunked ? 'with chunks' : 'without a length';

  const breakOff: rawServer.RawAnswer = ({ id }) => ({
    bytes: rawServer.streamHead(id, isChunked) + rawServer.events(isChunked, 1, 2),
    then: 'reset',
  });

  const goOn: rawServer.RawAnswer = ({ id }) => ({
    bytes:
      rawServer.streamHead(id, isChunked) +
      rawServer.events(isChunked, 3, 4) +
      (isChunked ? '0\r\n\r\n' : ''),
    then: 'end',
  });

  // Guards against the text of an error in the middle of a stream.
  suite(`a stream ${framing} goes on behind an error of the next server`, async () => {
    const servers = createServers(breakOff, ({ id }) => rawServer.serverError(id), goOn);
    const content = builder.document() as { routes: { max_attempts: number }[] };
    content.routes.forEach((route) => Object.assign(route, { max_attempts: 3 }));
    await new builder.GatewayBuilder(servers, content).run(async (gateway) => {
      const answer = await gateway.send('POST', '/reply/7');
      assertEventsOnly(answer, 4);
    });
  });

  // Guards against a stream that looks complete because the error was.
  suite(`a stream ${framing} is cut when only errors follow`, async () => {
    const servers = createServers(breakOff, ({ id }) => rawServer.serverError(id));
    await new builder.GatewayBuilder(servers).run(async (gateway) => {
      const answer = await gateway.send('POST', '/reply/7');
      assertEventsOnly(answer, 2);
      assert.is(answer.isComplete, false);
    });
  });

  // Guards against the head of a second answer that becomes a part of the stream.
  [rawServer.serverError('request-1'), rawServer.refusal('request-1')].forEach((second) => {
    const [title] = second.split('\r\n');
    suite(`a second answer (${title}) is no part of a stream ${framing}`, async () => {
      const doubled: rawServer.RawAnswer = ({ id }) => ({
        bytes:
          rawServer.streamHead(id, isChunked) +
          rawServer.events(isChunked, 1, 2) +
          second +
          (isChunked ? '0\r\n\r\n' : ''),
        then: 'end',
      });
      await new builder.GatewayBuilder(createServers(doubled, goOn)).run(async (gateway) => {
        const answer = await gateway.send('POST', '/reply/7');
        assert.not.match(answer.text, /HTTP|server error|Figline/);
        assertEventsOnly(answer, 4);
      });
    });
  });
});

suite.run();
