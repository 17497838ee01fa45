import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as memory from '../../src/memory';

const suite = uvu.suite('segmented bytes');

const SEGMENT_BYTES = 1_024;

function numbered(bytes: number, start = 0): Buffer {
  return Buffer.from(Array.from({ length: bytes }, (_, index) => (start + index) % 251));
}

// Guards against bytes that are lost or reordered where a segment begins, and against segments that are still read elsewhere.
suite(
  'bytes in parts of any size are collected unchanged, also when segments are used again',
  () => {
    const pool = new memory.SegmentPool(4 * SEGMENT_BYTES, SEGMENT_BYTES);
    const sizes = [0, 1, 511, 512, 513, 1_023, 1_024, 1_025, 2_048, 5_000];
    const collected = sizes.flatMap((size) =>
      [1, 300, 1_024, 7_000].map((partBytes) => {
        const bytes = new memory.SegmentedBytes(pool);
        const expected = numbered(size, size + partBytes);
        for (let offset = 0; offset < size; offset += partBytes) {
          bytes.add(expected.subarray(offset, offset + partBytes));
        }
        assert.is(bytes.size, size);
        assert.ok(bytes.capacity >= size);
        return { expected, taken: bytes.take() };
      }),
    );
    collected.forEach(({ expected, taken }) => assert.ok(expected.equals(taken)));
  },
);

// Guards against single bytes that keep the large buffers in memory in which they arrived.
suite('a small body takes up little more than its bytes', () => {
  const bytes = new memory.SegmentedBytes(new memory.SegmentPool(0));
  numbered(600).forEach((byte) => bytes.add(Buffer.from([byte])));
  assert.ok(bytes.capacity <= 1_200, String(bytes.capacity));
});

// Guards against a pool that keeps all segments of a crowd.
suite('dropped segments are kept up to a limit', () => {
  const pool = new memory.SegmentPool(2 * SEGMENT_BYTES, SEGMENT_BYTES);
  const bytes = new memory.SegmentedBytes(pool);
  bytes.add(numbered(10 * SEGMENT_BYTES));
  bytes.clear();
  assert.is(bytes.capacity, 0);
  assert.is(pool.freeBytes, 2 * SEGMENT_BYTES);
});

suite.run();
