import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as eventSplitter from '../../src/gateway/event-splitter';

const suite = uvu.suite('event splitter');

const TEXT = 'id: 1\ndata: a\n\n: comment\n\nid:22\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n';

// Guards against partial events, and against bytes that are lost between chunks.
suite('events are complete wherever the stream is split into chunks', () => {
  for (let cut = 0; cut <= TEXT.length; cut += 1) {
    const splitter = new eventSplitter.EventSplitter(1_000);
    const events = [TEXT.slice(0, cut), TEXT.slice(cut)].flatMap((part) =>
      splitter.push(Buffer.from(part)),
    );
    assert.equal(
      events.map(({ id }) => id),
      [1, undefined, 22, 3],
    );
    assert.is(Buffer.concat(events.map(({ bytes }) => bytes)).toString(), TEXT);
    assert.is(splitter.pendingBytes, 0);
  }
});

suite('an incomplete event stays pending, and an endless one fails', () => {
  const splitter = new eventSplitter.EventSplitter(20);
  assert.equal(splitter.push(Buffer.from('id: 1\nda')), []);
  assert.is(splitter.pendingBytes, 8);
  assert.throws(() => splitter.push(Buffer.from('x'.repeat(20))));
});

// Guards against quadratic time for one long event in many small parts.
suite('an event in parts of one byte is parsed in linear time', () => {
  const bytes = 32 * 1_024;
  const splitter = new eventSplitter.EventSplitter(2 * bytes);
  const { concat } = Buffer;
  const { indexOf } = Buffer.prototype;
  let touched = 0;
  Buffer.concat = (parts: readonly Uint8Array[], length?: number) => {
    touched += parts.reduce((sum, part) => sum + part.length, 0);
    return concat(parts, length);
  };
  Buffer.prototype.indexOf = function counted(this: Buffer, ...given: [string, number?]) {
    touched += this.length - (given[1] ?? 0);
    return indexOf.apply(this, given);
  };
  try {
    for (let part = 0; part < bytes; part += 1) {
      splitter.push(Buffer.from('x'));
    }
  } finally {
    Buffer.concat = concat;
    Buffer.prototype.indexOf = indexOf;
  }
  assert.ok(touched < 32 * bytes, `${touched} bytes were touched for ${bytes}`);
  assert.is(splitter.push(Buffer.from('\n\n'))[0].bytes.length, bytes + 2);
});

// Guards against a small part that retains the large buffer in which it arrived.
suite('pending bytes do not share memory with the buffer that arrived', () => {
  const splitter = new eventSplitter.EventSplitter(1_000);
  const part = Buffer.from('id: 1\nda');
  splitter.push(part);
  part.fill(0);
  assert.is(splitter.push(Buffer.from('ta: a\n\n'))[0].bytes.toString(), 'id: 1\ndata: a\n\n');
});

suite.run();
