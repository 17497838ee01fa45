import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as backend from '../../src/backend';
import * as stream from '../../src/stream';
import * as verdict from '../../src/verdict';

const suite = uvu.suite('stream');
const { StreamFault, StreamEffectKind } = stream;

function chatData(content: string, id = 'cmpl-1'): string {
  const choices = [{ index: 0, delta: { content }, finish_reason: null }];
  return JSON.stringify({ id, created: 1, model: 'm', choices });
}

function piece(number: number, content = `word${number} `, id = 'cmpl-1'): backend.StreamPiece {
  return { number, data: chatData(content, id) };
}

/** State after the pieces 0 to `count - 1`. */
function delivered(count: number): stream.StreamState {
  return Array.from({ length: count }, (_unused, number) => piece(number)).reduce(
    (state, next) => stream.accept(state, next).state,
    stream.initialState(),
  );
}

function faultOf(state: stream.StreamState, next: backend.StreamPiece) {
  const { effects, state: after, startState } = stream.accept(state, next);
  assert.is(after, startState, 'a fault changed the state');
  const [effect] = effects;
  return effect.kind === StreamEffectKind.Break ? effect.fault : undefined;
}

suite('gaps, repeats, restarts and malformed data never reach the caller', () => {
  const state = delivered(5);
  assert.is(faultOf(state, piece(6)), StreamFault.Gap);
  assert.is(faultOf(state, piece(4)), StreamFault.Repeat);
  assert.is(faultOf(state, piece(2)), StreamFault.Repeat);
  assert.is(faultOf(state, piece(4, 'other ')), StreamFault.Restart);
  assert.is(faultOf(state, piece(0, 'other ')), StreamFault.Restart);
  assert.is(faultOf(state, { number: 5, data: '{"choices":1}' }), StreamFault.Malformed);
  const ended = stream.accept(state, { number: 5, data: stream.DONE }).state;
  assert.is(faultOf(ended, piece(6)), StreamFault.AfterEnd);
});

suite('a resume repeats one piece, which is compared and not delivered again', () => {
  const resumed = stream.resume(delivered(5), stream.resumePoint(delivered(5)));
  const overlap = stream.accept(resumed, piece(4, 'word4 ', 'cmpl-of-another-engine'));
  assert.equal(overlap.effects, []);
  assert.equal(stream.accept(overlap.state, piece(5)).effects, [
    { kind: StreamEffectKind.Deliver, piece: piece(5) },
  ]);
  assert.is(faultOf(resumed, piece(4, 'other ')), StreamFault.Restart);
  assert.is(faultOf(resumed, piece(5)), StreamFault.Gap);
  assert.throws(() => stream.resume(delivered(5), 6), /cannot resume/);
});

suite('any mix of faults and resumes delivers every piece once and in order', () => {
  const LENGTH = 12;
  const step = fastCheck.record({
    take: fastCheck.nat({ max: LENGTH }),
    fault: fastCheck.nat({ max: LENGTH }),
    overlap: fastCheck.boolean(),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { maxLength: 20 }), (steps) => {
      let state = stream.initialState();
      const numbers: number[] = [];
      const feed = (next: backend.StreamPiece): void => {
        const result = stream.accept(state, next);
        state = result.state;
        result.effects.forEach((effect) => {
          if (effect.kind === StreamEffectKind.Deliver) {
            numbers.push(effect.piece.number);
          }
        });
      };
      steps.forEach(({ take, fault, overlap }) => {
        const from = overlap ? stream.resumePoint(state) : state.nextPiece;
        state = stream.resume(state, from);
        Array.from({ length: take }, (_unused, index) => from + index)
          .filter((number) => number < LENGTH)
          .forEach((number) => feed(piece(number)));
        feed(piece(fault));
      });
      assert.equal(
        numbers,
        Array.from({ length: numbers.length }, (_unused, index) => index),
      );
    }),
    { seed: 7, numRuns: 500 },
  );
});

suite('chat chunks of several choices and tool calls become one answer', () => {
  const chunk = (choices: object[], extra: object = {}) =>
    JSON.stringify({ id: 'cmpl-1', created: 1, model: 'm', choices, ...extra });
  const call = (index: number, id: string | undefined, name: string, text: string) => ({
    tool_calls: [{ index, id, function: { name, arguments: text } }],
  });
  const answer = [
    chunk([{ index: 1, delta: { role: 'assistant', content: 'b' } }]),
    chunk([{ index: 0, delta: { content: 'a' } }]),
    chunk([{ index: 0, delta: { content: 'A' }, finish_reason: 'stop' }]),
    chunk([{ index: 2, delta: call(0, 'call-1', 'look', '{"a"') }]),
    chunk([{ index: 2, delta: call(0, undefined, '', ':1}'), finish_reason: 'tool_calls' }]),
    chunk([{ index: 1, delta: {}, finish_reason: 'length' }], { usage: { total_tokens: 3 } }),
    stream.DONE,
  ].reduce(
    (aggregate, data) => stream.addChunk(aggregate, data).unwrap(),
    stream.emptyAggregate(stream.AnswerFormat.Chat),
  );
  const message = (content: string) => ({ role: 'assistant', content, refusal: null });
  const toolCall = {
    id: 'call-1',
    type: 'function',
    function: { name: 'look', arguments: '{"a":1}' },
  };
  assert.equal(stream.wholeBody(answer).unwrap(), {
    id: 'cmpl-1',
    created: 1,
    model: 'm',
    object: 'chat.completion',
    choices: [
      { index: 0, message: message('aA'), finish_reason: 'stop' },
      { index: 1, message: message('b'), finish_reason: 'length' },
      {
        index: 2,
        message: { ...message(''), content: null, tool_calls: [toolCall] },
        finish_reason: 'tool_calls',
      },
    ],
    usage: { total_tokens: 3 },
  });
});

suite('an answer without its end is never returned as a complete one', () => {
  const empty = stream.emptyAggregate(stream.AnswerFormat.Text);
  const choices = [{ index: 0, text: 'a', finish_reason: 'stop' }];
  const data = JSON.stringify({ id: 'cmpl-1', created: 1, model: 'm', choices });
  const partial = stream.addChunk(empty, data).unwrap();
  assert.ok(stream.wholeBody(partial).err);
  assert.ok(stream.addChunk(partial, '{').err);
  const whole = stream.wholeBody(stream.addChunk(partial, stream.DONE).unwrap()).unwrap();
  assert.equal((whole as { choices: object[] }).choices, [
    { index: 0, text: 'a', finish_reason: 'stop' },
  ]);
});

suite('an error event contains the verdict and names no server', () => {
  const failure = verdict.failure(
    verdict.FailureReason.StreamBroken,
    verdict.Verdict.MayHaveRun,
    'Lost.',
    { backendServerId: 'runner-1', retryAfterMilliseconds: 1_000 },
  );
  assert.is(
    stream.errorEvent(failure),
    'event: error\ndata: {"error":{"code":"stream_broken","message":"Lost.",' +
      '"verdict":"may-have-run","retryAfterMilliseconds":1000}}\n\n',
  );
});

suite.run();
