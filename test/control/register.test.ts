import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as control from '../../src/control';
import * as suspendableClock from '../support/suspendable-clock';
import * as failingFileSystem from './failing-file-system';
import * as builder from './group-builder';

const suite = uvu.suite('register');
const { SetDesiredWeights, PutRouting, ReadRegister } = control.CommandKind;

function put(version: number): control.Command {
  return { kind: PutRouting, version, text: `text of ${version}` };
}

/** Guards against a late, lower version that replaces a newer one. */
suite('the highest version stays, in whichever order versions arrive', () => {
  const register = [7, 9, 8, 9].reduce(
    (state, version) => control.putRouting(state, { version, text: `${version}` }),
    control.EMPTY_REGISTER,
  );
  assert.equal(register.routing, { version: 9, text: '9' });
  assert.is(register.sequence, 2);
});

suite('another text under the same version changes nothing', () => {
  const first = control.putRouting(control.EMPTY_REGISTER, { version: 1, text: 'first' });
  assert.is(control.putRouting(first, { version: 1, text: 'other' }), first);
});

suite('the desired weights version only increases, independently for each model', () => {
  const withWeights = control.setDesiredWeights(control.EMPTY_REGISTER, 'desk', 3, 10);
  assert.is(control.setDesiredWeights(withWeights, 'desk', 2, 20), withWeights);
  const both = control.setDesiredWeights(withWeights, 'ledger', 1, 30);
  assert.equal(both.weights.get('desk'), { version: 3, namedAt: 10 });
  assert.is(both.weights.get('ledger')?.version, 1);
});

suite('a register is the same after encoding and decoding', () => {
  const withWeights = control.setDesiredWeights(control.EMPTY_REGISTER, 'desk', 3, 10);
  const register = control.putRouting(withWeights, { version: 4, text: 'four' });
  const copy = control.decodeRegister(control.encodeRegister(register));
  assert.equal(control.encodeRegister(copy), control.encodeRegister(register));
});

/** Guards against daemons that route by an old document, and against replicas that lose it at a restart. */
suite(
  'a routing document reaches every daemon and survives a restart of all replicas',
  async () => {
    const group = await builder.TestGroup.start(3, 2);
    await group.nodes[4].propose(put(7), 10_000);
    await group.nodes[3].propose({ kind: SetDesiredWeights, model: 'desk', version: 2 }, 10_000);
    await builder.until(() => group.nodes.every((node) => node.register().sequence === 2));
    await Promise.all(group.nodes.map((node) => node.close()));
    await Promise.all([0, 1, 2].map((index) => group.restart(index)));
    const read = await group.nodes[1].propose({ kind: ReadRegister }, 10_000);
    assert.equal(read.val, { kind: control.CommandResultKind.RegisterSequence, sequence: 2 });
    await builder.until(() => group.nodes[1].register().sequence === 2);
    assert.is(group.nodes[1].register().routing?.text, 'text of 7');
    await group.close();
  },
);

/** Guards against a time stamp of a clock that is ahead, which makes a version look new to a daemon that starts. */
suite(
  'a daemon that starts gets the age of a desired version from its peers, not from its time stamp',
  async () => {
    const clocks = [0, 1, 2].map(() => new suspendableClock.SuspendableClock());
    clocks.forEach((ahead) => ahead.suspend(3_600_000));
    const group = await builder.TestGroup.start(3, 0, [], clocks);
    const outcome = await group.nodes[0].propose(
      { kind: SetDesiredWeights, model: 'desk', version: 2 },
      10_000,
    );
    assert.ok(outcome.ok);
    await builder.until(() => group.nodes.every((node) => node.register().sequence === 1));
    const receivedAt = Date.now();
    await clocks[0].sleep(100);
    const age = Date.now() - receivedAt;
    const added = await group.restart(3);
    await builder.until(() => added.register().sequence === 1);
    const { namedAt = Infinity } = added.register().weights.get('desk') ?? {};
    await group.close();
    assert.ok(Date.now() - namedAt >= age, `named at ${namedAt}`);
  },
);

/**
 * Guards against a daemon whose clock is ahead and that stops using older weights as soon as newer ones are
 * set.
 */
suite(
  'a daemon that hears of a naming at once does not take the lead of its clock for age',
  async () => {
    const clocks = [0, 1, 2, 3].map(() => new suspendableClock.SuspendableClock());
    clocks[3].suspend(3_600_000);
    const group = await builder.TestGroup.start(3, 1, [], clocks);
    const other = group.nodes[3];
    await group.nodes[0].propose({ kind: SetDesiredWeights, model: 'desk', version: 1 }, 10_000);
    await builder.until(() => other.register().sequence === 1);
    await group.nodes[0].propose({ kind: SetDesiredWeights, model: 'desk', version: 2 }, 10_000);
    await builder.until(() => other.register().sequence === 2);
    const { namedAt = 0 } = other.register().weights.get('desk') ?? {};
    const age = clocks[3].now() - namedAt;
    await group.close();
    assert.ok(age < 1_800_000, `named ${age} ms ago`);
  },
);

/** Guards against a replica that stays stopped after its disk was full for a moment. */
suite('a replica whose disk failed votes again once the disk works', async () => {
  const disk = new failingFileSystem.FailingFileSystem();
  const group = await builder.TestGroup.start(3, 0, [disk]);
  await group.nodes[1].propose(put(1), 10_000);
  disk.isFailing = true;
  await group.nodes[1].propose(put(2), 10_000);
  await builder.until(() => group.nodes[0].status().role === control.ReplicaRole.None);
  disk.isFailing = false;
  await builder.until(() => group.nodes[0].status().role !== control.ReplicaRole.None);
  await group.nodes[1].propose(put(3), 10_000);
  await builder.until(() => group.nodes[0].register().routing?.version === 3);
  await group.close();
});

suite.run();
