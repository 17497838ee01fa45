import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as control from '../../src/control';
import * as builder from './group-builder';

const suite = uvu.suite('control node');
const { Claimed } = control.ClaimPhase;
const { ClaimGranted, ClaimHeld, PublishAccepted } = control.CommandResultKind;

suite('a daemon without a data folder can claim, and the key is granted only once', async () => {
  const group = await builder.TestGroup.start(3, 1);
  const first = await group.nodes[3].propose(builder.claim('key', 'one'), 10_000);
  const again = await group.nodes[0].propose(builder.claim('key', 'one'), 10_000);
  const other = await group.nodes[1].propose(builder.claim('key', 'two'), 10_000);
  assert.equal(first.val, { kind: ClaimGranted });
  assert.equal(again.val, { kind: ClaimGranted });
  assert.equal(other.val, {
    kind: ClaimHeld,
    phase: Claimed,
    attemptId: 'one',
    answer: undefined,
  });
  await group.close();
});

suite('a publish reaches every daemon, with and without a data folder', async () => {
  const group = await builder.TestGroup.start(3, 2);
  const result = await group.nodes[4].propose(builder.publish('first', 0), 10_000);
  assert.equal(result.val, { kind: PublishAccepted, revision: 1 });
  await builder.until(() => group.nodes.every((node) => node.configuration().revision === 1));
  assert.equal([...group.nodes[3].configuration().documents.keys()], ['team/first']);
  await group.close();
});

suite('a single replica forms a group of its own', async () => {
  const group = await builder.TestGroup.start(1);
  const result = await group.nodes[0].propose(builder.publish('first', 0), 10_000);
  assert.equal(result.val, { kind: PublishAccepted, revision: 1 });
  await group.close();
});

suite.run();
