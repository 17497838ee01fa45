import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as memory from '../../src/memory';

const suite = uvu.suite('memory account');

const { MemoryKind } = memory;

// Guards against callers who have sent a part of a request and take the memory of those whose request runs.
suite('what has not begun leaves memory for what has', () => {
  const account = new memory.MemoryAccount(1_000);
  assert.ok(account.tryAdd(MemoryKind.UnfinishedBodies, 500));
  assert.not(account.tryAdd(MemoryKind.UnfinishedBodies, 1));
  assert.ok(account.tryAdd(MemoryKind.Heads, 250));
  assert.not(account.tryAdd(MemoryKind.Heads, 1));
  account.add(MemoryKind.Answers, 300);
  assert.is(account.total, 1_050);
  account.add(MemoryKind.UnfinishedBodies, -500);
  assert.not(account.tryAdd(MemoryKind.UnfinishedBodies, 451), 'all kinds share one limit');
  assert.ok(account.tryAdd(MemoryKind.UnfinishedBodies, 450));
});

// Guards against a process near its limit that goes on admitting as before.
suite('while the process is short of memory less is admitted', () => {
  const account = new memory.MemoryAccount(1_000);
  account.isShort = true;
  assert.not(account.tryAdd(MemoryKind.UnfinishedBodies, 251));
  account.isShort = false;
  assert.ok(account.tryAdd(MemoryKind.UnfinishedBodies, 251));
});

// Guards against limits below what one caller inside the documented limits needs.
suite(
  'on the smallest VM two of the largest bodies fit, and more descriptors are left than connections to servers need',
  () => {
    const limits = memory.limitsFor({ memoryBytes: 88e6, descriptors: 3_900 });
    const account = new memory.MemoryAccount(limits.heldBytes);
    assert.ok(account.tryAdd(MemoryKind.UnfinishedBodies, 2 * 4 * 1_024 * 1_024));
    assert.ok(limits.heldBytes < 88e6 / 4);
    assert.ok(3_900 - limits.callerConnections >= 1_000);
  },
);

// Guards against limits that exceed the VM together. On 88 MB the held bytes do not fit: 78 MB are used without requests.
suite('on a VM of 120 MB and more all that is held fits beside the process', () => {
  [120e6, 178e6, 350e6].forEach((memoryBytes) => {
    const { heldBytes } = memory.limitsFor({ memoryBytes });
    const join = 4 * 1_024 * 1_024;
    assert.ok(memory.PROCESS_BYTES + heldBytes + memory.POOL_BYTES + join < memoryBytes);
  });
});

// Guards against connections of callers that leave no descriptors for their servers, and against more than the memory takes.
suite('connections fit into the descriptors and the memory', () => {
  const usable = 2_212 - 200;
  const many = memory.limitsFor({ descriptors: usable }, 1_000).callerConnections;
  assert.ok(many >= 800 && many + Math.min(many, 1_000) < usable - 100, String(many));
  assert.is(memory.limitsFor({ descriptors: 0 }, 1_000).callerConnections, 64);
  const { callerConnections, heldBytes } = memory.limitsFor(
    { memoryBytes: 120e6, descriptors: 100_000 },
    1_000,
  );
  assert.ok(callerConnections * memory.CONNECTION_BYTES <= heldBytes / 2);
});

suite.run();
