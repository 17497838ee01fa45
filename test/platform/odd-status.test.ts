import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as cutCases from './cut-cases';
import type * as rawServer from './raw-server';

const suite = uvu.suite('answers whose status is none');

/** Status lines of heads that are neither an interim answer nor an answer. */
const ODD_STATUSES = ['000 None', '001 One', '099 Low', '101 Switching', '600 High', '999'];

let lastId = 0;

/** Answers with an odd status: the head alone, with a body, and before a genuine answer. */
function oddAnswers(id: string, kind: cutCases.Kind, status: string): Record<string, string> {
  const framings = [cutCases.Framing.Length, cutCases.Framing.Chunks, cutCases.Framing.Close];
  const whole = framings.map((framing) => [
    `${status} with ${framing}`,
    cutCases.headOf(id, framing, kind, status) + cutCases.framedBody(framing, kind),
  ]);
  const genuine =
    cutCases.headOf(id, cutCases.Framing.Length, kind) +
    cutCases.framedBody(cutCases.Framing.Length, kind);
  return {
    ...Object.fromEntries(whole),
    [`${status} before an answer`]: `HTTP/1.1 ${status}\r\n\r\n${genuine}`,
    [`${status} that refuses`]: `HTTP/1.1 ${status}\r\nX-Figline-Request-Id: ${id}\r\nX-Figline-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
  };
}

function oddCases(kind: cutCases.Kind): cutCases.Case[] {
  return ODD_STATUSES.flatMap((status) =>
    Object.keys(oddAnswers('', kind, status)).map((name) => {
      lastId += 1;
      const id = `c${String(lastId).padStart(6, '0')}`;
      const bytes = oddAnswers(id, kind, status)[name];
      const odd: rawServer.RawAnswer = () => bytes;
      const whole = cutCases.wholeAnswer(id, cutCases.Framing.Length, kind);
      return { id, name: `${kind}: ${name}`, kind, answers: [odd, whole] };
    }),
  );
}

// Guards against a head without a valid status that reaches a caller, is passed over, or has its request sent twice.
cutCases.KINDS.forEach((kind) => {
  suite(`an odd status is a malformed answer (${kind})`, async () => {
    const results = await cutCases.runCases(oddCases(kind));
    results.forEach((result) => {
      const { given, answer, attempts } = result;
      const isRepeated = cutCases.isRepeated(kind);
      cutCases.check(result, (text) => isRepeated && text === cutCases.bodyOf(kind));
      assert.is(attempts.length, isRepeated ? 2 : 1, given.name);
      assert.is(answer?.status, isRepeated ? 200 : 502, given.name);
    });
  });
});

// Guards against a proper interim answer that is taken for a malformed one.
suite('interim answers before an answer are passed over', async () => {
  const kind = cutCases.Kind.NotIdempotent;
  const cases = ['102 Processing', '103 Early Hints', '199'].map((status, index) => {
    const id = `c10000${index}`;
    const bytes =
      `HTTP/1.1 ${status}\r\n\r\n`.repeat(2) +
      cutCases.headOf(id, cutCases.Framing.Length, kind) +
      cutCases.TEXT;
    return { id, name: status, kind, answers: [() => bytes] };
  });
  const results = await cutCases.runCases(cases);
  results.forEach(({ given, answer, attempts }) => {
    assert.is(answer?.status, 200, given.name);
    assert.is(answer?.text, cutCases.TEXT, given.name);
    assert.is(attempts.length, 1, given.name);
  });
});

suite.run();
