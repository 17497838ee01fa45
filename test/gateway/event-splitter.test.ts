import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as eventSplitter from '../../src/gateway/event-splitter';

const suite = uvu.suite('event splitter');

const TEXT = 'id: 1\ndata: a\n\n: comment\n\nid:22\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n';

// Guards against parts of events, and against bytes that are lost between chunks.
suite('events are whole and complete, wherever the chunks are cut', () => {
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

suite('an unfinished event stays pending, and an endless one is refused', () => {
  const splitter = new eventSplitter.EventSplitter(20);
  assert.equal(splitter.push(Buffer.from('id: 1\nda')), []);
  assert.is(splitter.pendingBytes, 8);
  assert.throws(() => splitter.push(Buffer.from('x'.repeat(20))));
});

suite.run();
