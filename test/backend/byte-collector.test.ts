import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';

const suite = uvu.suite('byte collector');

// Guards against small parts of an answer that keep the large buffers in memory in which they were received.
suite('the parts of an answer are copied', () => {
  const collector = new backend.ByteCollector(1_024);
  const part = Buffer.from('sacks');
  assert.ok(collector.add(part));
  part.fill(0);
  assert.ok(collector.add(Buffer.from(' and sacks')));
  assert.is(collector.take().toString(), 'sacks and sacks');
  assert.is(collector.size, 0);
});

suite('a part above the limit is not added', () => {
  const collector = new backend.ByteCollector(600);
  assert.ok(collector.add(Buffer.alloc(600)));
  assert.not(collector.add(Buffer.alloc(1)));
  assert.is(collector.size, 600);
});

suite.run();
