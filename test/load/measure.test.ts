import * as assert from 'uvu/assert';
import { test } from 'uvu';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as byteCountingRelay from '../../src/load/measure/byte-counting-relay';
import * as leastSquares from '../../src/load/measure/least-squares';
import * as processUsage from '../../src/load/measure/process-usage';
import * as emulator from '../../src/emulator';

// Guards against slopes that are wrong by a factor, on which every figure of docs/CAPACITY.md depends.
test('a fit finds the line through exact points, and the residual is the largest distance', () => {
  const exact = [1, 2, 4, 8].map((x) => ({ x, y: 3 * x + 5 }));
  const line = leastSquares.fitLine(exact);
  assert.ok(Math.abs(line.slope - 3) < 1e-9 && Math.abs(line.intercept - 5) < 1e-9);
  assert.ok(line.largestResidual < 1e-9);
  const bent = leastSquares.fitLine([0, 1, 2].map((x) => ({ x, y: x === 1 ? 3 : 0 })));
  assert.equal(bent, { slope: 0, intercept: 1, largestResidual: 2 });
  assert.is(leastSquares.median([9, 1, 4]), 4);
  assert.is(leastSquares.median([9, 1, 4, 2]), 3);
});

// Guards against a wrong unit, and against counting the main thread only.
test('the usage of a process is the sum over its threads', () => {
  const status =
    'VmPeak:\t  9000 kB\nVmRSS:\t  2000 kB\nThreads:\t2\n' +
    'voluntary_ctxt_switches:\t150\nnonvoluntary_ctxt_switches:\t545\n';
  const usage = processUsage.parseUsage(['1500000 7 1\n', '500000 0 0\n'], status);
  assert.equal(usage, { cpuMilliseconds: 2, residentBytes: 2_048_000, wakeUps: 150 });
});

// Guards against a relay that changes the bytes that it counts.
test('a relay forwards a call and counts its bytes', async () => {
  const server = new emulator.EmulatedPlainService();
  await server.listen();
  const relay = new byteCountingRelay.ByteCountingRelay(server.port);
  const port = await relay.listen();
  const client = new backend.HttpPlainService(
    { serverId: 's', host: '127.0.0.1', port },
    new clock.SystemClock(),
  );
  const load = await client.load();
  assert.ok(load.ok && relay.counts.bytes > 100 && relay.counts.connections === 1);
  await client.close();
  await server.stop();
  relay.close();
});

test.run();
