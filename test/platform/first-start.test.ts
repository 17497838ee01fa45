import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as builtCheckout from './built-checkout';
import * as firstStart from './first-start';

const suite = uvu.suite('kills of control daemons in the first start');

const checkout = new builtCheckout.BuiltCheckout();

suite.before(() => checkout.build());

suite.after(() => checkout.remove());

const ALL = [0, 1, 2];

async function assertOneGroup(site: firstStart.FirstStartSite, version: number): Promise<void> {
  const versions = await Promise.all(ALL.map((index) => site.versionAt(index)));
  assert.equal(versions, [version, version, version]);
  assert.is(site.formedGroups, 1);
}

// Guards against a first start without a replica group, because one daemon alone could form it and was killed before that.
[[0], [1], [0, 1], [1, 2]].forEach((killed) => {
  suite(`daemons ${killed.join(', ')} are killed before there is a group`, async () => {
    await firstStart.run(checkout, async (site) => {
      const others = ALL.filter((index) => !killed.includes(index));
      await site.start(...killed);
      await site.kill(...killed);
      await site.start(...others);
      await site.start(...killed);
      await site.publish(others[0], 1);
      await assertOneGroup(site, 1);
    });
  });
});

// Guards against a kill at any other moment of the first second that leaves no group or two.
[100, 300, 500, 700, 900].forEach((milliseconds) => {
  suite(`the daemon with the lowest address is killed after ${milliseconds} ms`, async () => {
    await firstStart.run(checkout, async (site) => {
      const [, ...others] = site.spawn(...ALL);
      await firstStart.pause(milliseconds);
      await site.kill(0);
      await firstStart.pause(RESTART_MILLISECONDS);
      await site.start(0);
      await Promise.all(others.map((process) => process.waitForLog('started')));
      await site.publish(1, 1);
      await assertOneGroup(site, 1);
    });
  });
});

// Guards against a second group that forgets what the first one acknowledged, formed with the help of an empty disk.
ALL.forEach((lost) => {
  suite(`the disk of daemon ${lost} is lost right after the first acknowledgement`, async () => {
    await firstStart.run(checkout, async (site) => {
      await site.start(...ALL);
      await site.publish(lost, 1);
      await site.kill(lost);
      site.loseDisk(lost);
      await site.start(lost);
      await assertOneGroup(site, 1);
      await site.publish(lost, 2);
      await assertOneGroup(site, 2);
    });
  });
});

suite.run();

const RESTART_MILLISECONDS = 300;
