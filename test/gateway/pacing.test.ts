import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as pacing from '../../src/gateway/pacing';

const suite = uvu.suite('pacing');

// Guards against a log that cannot tell a late first piece from a pause in the middle of a stream.
suite('the first piece and the longest pause after it are told apart', () => {
  const written = [120, 150, 450, 460].reduce(pacing.pieceWritten, pacing.startPacing(100));
  assert.equal(pacing.pacingFields(written), {
    pieces: 4,
    firstMilliseconds: 20,
    longestPauseMilliseconds: 300,
  });
});

suite('an answer without a piece has no pacing', () => {
  assert.equal(pacing.pacingFields(pacing.startPacing(100)), {});
});

suite.run();
