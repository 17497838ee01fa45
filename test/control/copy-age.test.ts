import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as copyAge from '../../src/control/copy-age';
import * as builder from './group-builder';

const suite = uvu.suite('age of a copy');

const at = (registerSequence: number) => ({ revision: 0, registerSequence });

function started(): { time: clock.ManualClock; age: copyAge.CopyAge } {
  const time = new clock.ManualClock(10_000);
  const age = new copyAge.CopyAge(time, new clock.SuspensionDetector(time));
  return { time, age };
}

/** Guards against a copy that counts as recent because a peer has told of changes that have not arrived. */
suite('a confirmation counts only once the copy reaches what was confirmed', () => {
  const { time, age } = started();
  age.confirm(at(3), 9_900);
  assert.is(age.milliseconds(), Infinity);
  age.advance(at(2));
  assert.is(age.milliseconds(), Infinity);
  time.advance(100);
  age.advance(at(3));
  assert.is(age.milliseconds(), 200);
});

/** Guards against a copy that never counts as recent while changes come faster than copies of them. */
suite('confirmations of several positions are kept until the copy reaches them', () => {
  const { time, age } = started();
  for (let sequence = 1; sequence <= 10; sequence += 1) {
    time.advance(50);
    age.confirm(at(sequence), time.monotonic());
    age.advance(at(sequence - 1));
  }
  assert.is(age.milliseconds(), 50);
});

/** Guards against a VM that was suspended and goes on as if its copy were from a moment ago. */
suite('after a suspension the age is unknown until it is confirmed anew', () => {
  const { time, age } = started();
  age.confirm(at(0), 10_000);
  time.suspend(17_000);
  age.confirm(at(0), 9_990);
  assert.is(age.milliseconds(), Infinity);
  time.advance(5);
  age.confirm(at(0), time.monotonic());
  assert.is(age.milliseconds(), 0);
});

/** Guards against daemons that never know their copy as recent although a leader lives, and the contrary. */
suite('every daemon knows its copy as recent while a leader is linked, and no longer', async () => {
  const group = await builder.TestGroup.start(3, 2);
  const [first, second, third, ...others] = group.nodes;
  const isRecent = (node: (typeof group.nodes)[number]) => node.copyAgeMilliseconds() < 2_500;
  await builder.until(() => group.nodes.every(isRecent));
  await first.propose(builder.publish('first', 0), 10_000);
  await builder.until(() => group.nodes.every((node) => node.configuration().revision === 1));
  await builder.until(() => group.nodes.every(isRecent));
  await Promise.all([second.close(), third.close()]);
  await builder.until(() => [first, ...others].every((node) => !isRecent(node)));
  await group.close();
});

suite.run();
