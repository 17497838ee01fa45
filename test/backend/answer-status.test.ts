import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as answerStatus from '../../src/backend/answer-status';

const suite = uvu.suite('statuses of answers');

// Guards against a number outside of the statuses of HTTP that counts as an answer or is passed over.
suite('every number is an interim answer, a final one or malformed', () => {
  const { Interim, Final, Malformed } = answerStatus.AnswerKind;
  const ranges = [
    { from: -1, to: 99, kind: Malformed },
    { from: 100, to: 100, kind: Interim },
    { from: 101, to: 101, kind: Malformed },
    { from: 102, to: 199, kind: Interim },
    { from: 200, to: 599, kind: Final },
    { from: 600, to: 10_000, kind: Malformed },
  ];
  ranges.forEach(({ from, to, kind }) => {
    for (let status = from; status <= to; status += 1) {
      assert.is(answerStatus.answerKind(status), kind, `status ${status}`);
    }
  });
});

suite('what is no whole number is no status', () => {
  [NaN, Infinity, -Infinity].forEach((status) => {
    assert.is(answerStatus.answerKind(status), answerStatus.AnswerKind.Malformed);
  });
});

suite.run();
