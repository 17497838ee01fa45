import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as groupBuilder from '../control/group-builder';
import * as rollOutBuilder from './roll-out-builder';

const suite = uvu.suite('roll-out of weights');

const CALLERS = 4;

const LONGEST_ROLL_OUT_MILLISECONDS = 45_000;

/**
 * Guards against requests that are refused while engines load, more concurrent loads than the weight store can serve,
 * and answers from old weights after the daemon has observed an engine with the new ones.
 */
suite('a roll-out reaches every engine and fails no request', async () => {
  const builder = new rollOutBuilder.RollOutBuilder();
  await builder.run(4, async () => {
    const load = builder.load(CALLERS);
    await groupBuilder.until(() => builder.answers.length > 10);
    const before = builder.answers[0].text;
    await builder.publish('v2', 1);
    await groupBuilder.until(() => builder.haveWeights('v2'), LONGEST_ROLL_OUT_MILLISECONDS);
    const answered = builder.answers.length;
    await groupBuilder.until(() => builder.answers.length > answered + CALLERS * 2);
    builder.stopLoad();
    await load;
    const { answers } = builder;
    assert.equal(
      answers.filter(({ status, isComplete }) => status !== 200 || !isComplete),
      [],
    );
    const newer = answers.filter(({ text }) => text !== before);
    assert.is(new Set(newer.map(({ text }) => text)).size, 1);
    const known = Math.min(...newer.map(({ endedAt }) => endedAt));
    const late = answers.filter(({ sentAt, text }) => sentAt > known && text === before);
    assert.equal(late, []);
    assert.is(answers[answers.length - 1].text, newer[0].text);
    assert.ok(builder.mostLoads <= 2, `${builder.mostLoads} loads at once`);
  });
});

// Guards against a daemon that starts during a roll-out and asks for weights that no engine has yet, which all engines refuse.
suite('a daemon that starts before any engine has the new weights fails no request', async () => {
  const builder = new rollOutBuilder.RollOutBuilder('v2');
  await builder.run(4, async () => {
    const load = builder.load(CALLERS);
    await groupBuilder.until(() => builder.answers.length > CALLERS * 2);
    builder.stopLoad();
    await load;
    assert.equal(
      builder.answers.filter(({ status, isComplete }) => status !== 200 || !isComplete),
      [],
    );
  });
});

suite.run();
