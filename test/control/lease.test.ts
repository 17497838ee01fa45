import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as suspendableClock from '../support/suspendable-clock';
import * as builder from './group-builder';

const suite = uvu.suite('lease of the control leader');

/** Guards against a lease that the encoding of the messages loses, or that a follower has as well. */
suite('only the leader of a connected group has a lease', async () => {
  const group = await builder.TestGroup.start(3);
  const leases = () => group.nodes.map((node) => node.status().leaseRemainingMilliseconds ?? 0);
  await builder.until(() => leases().some((remaining) => remaining > 0));
  const holders = group.nodes.filter((_, index) => leases()[index] > 0);
  assert.ok(holders.every((node) => builder.isLeader(node)));
  assert.is(holders.length, 1);
  await group.close();
});

/** Guards against orders of a leader whose VM was suspended while the others elected another one. */
suite('a leader that was suspended has no lease when it resumes', async () => {
  const clocks = [0, 1, 2].map(() => new suspendableClock.SuspendableClock());
  const group = await builder.TestGroup.start(3, 0, [], clocks);
  const leaseOf = (index: number) => group.nodes[index].status().leaseRemainingMilliseconds ?? 0;
  let left: number | undefined;
  await builder.until(() => {
    const holder = [0, 1, 2].find((index) => leaseOf(index) > 0);
    if (holder !== undefined) {
      clocks[holder].suspend(5_000);
      left = leaseOf(holder);
    }
    return holder !== undefined;
  });
  await group.close();
  assert.is(left, 0);
});

suite.run();
