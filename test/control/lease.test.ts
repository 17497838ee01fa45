import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as builder from './group-builder';

const suite = uvu.suite('lease of the control leader');

/** Guards against a lease that is lost in the encoding of the messages, or that a follower claims. */
suite('only the leader of a connected group has a lease', async () => {
  const group = await builder.TestGroup.start(3);
  const leases = () => group.nodes.map((node) => node.status().leaseRemainingMilliseconds ?? 0);
  await builder.until(() => leases().some((remaining) => remaining > 0));
  const holders = group.nodes.filter((_, index) => leases()[index] > 0);
  assert.ok(holders.every((node) => builder.isLeader(node)));
  assert.is(holders.length, 1);
  await group.close();
});

suite.run();
