import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as answerTiming from '../../src/gateway/answer-timing';

const suite = uvu.suite('answer timing');

// Guards against a log that does not separate a late first piece from a pause in the middle of a stream.
suite('the time to the first piece is separate from the longest pause after it', () => {
  const written = [120, 150, 450, 460].reduce(
    answerTiming.pieceWritten,
    answerTiming.startTiming(100),
  );
  assert.equal(answerTiming.timingFields(written), {
    pieces: 4,
    firstMilliseconds: 20,
    longestPauseMilliseconds: 300,
  });
});

suite('an answer without a piece has no timing fields', () => {
  assert.equal(answerTiming.timingFields(answerTiming.startTiming(100)), {});
});

suite.run();
