import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as logging from '../../src/logging';

const suite = uvu.suite('bounded output');

/** A stream whose reader may stall. */
class Reader {
  readonly lines: string[] = [];

  writableLength = 0;

  write(text: string): boolean {
    this.lines.push(text);
    return true;
  }
}

const LIMITS = { linesPerSecond: 2, waitingBytes: 100 };

// Guards against so many log lines that requests get too little processor time.
suite('lines above the limit are dropped and counted, errors are not', () => {
  const reader = new Reader();
  let now = 1_000;
  const output = new logging.BoundedOutput(reader, () => now, LIMITS);
  ['a', 'b', 'c', 'd'].forEach((line) => output.write(line, false));
  output.write('error', true);
  assert.equal(reader.lines, ['a\n', 'b\n', 'error\n']);
  assert.is(output.droppedLines, 2);
  now += 1_000;
  output.write('e', false);
  assert.match(reader.lines[3], '"lines":2');
  assert.is(reader.lines[4], 'e\n');
  assert.is(output.droppedLines, 0);
});

// Guards against a process that blocks until the reader of its log continues.
suite('nothing is written while the reader is stalled', () => {
  const reader = new Reader();
  let now = 1_000;
  const output = new logging.BoundedOutput(reader, () => now, LIMITS);
  reader.writableLength = 101;
  output.write('a', true);
  now += 1_000;
  output.write('b', true);
  assert.equal(reader.lines, []);
  assert.is(output.droppedLines, 2);
});

suite.run();
