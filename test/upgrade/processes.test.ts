import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as buildModule from './build';
import * as engineModule from './engine';
import * as mixedGroup from './mixed-group';

const suite = uvu.suite('processes of two builds side by side');

const production = buildModule.Build.production();
const current = buildModule.Build.current();
const group = new mixedGroup.MixedGroup();

suite.after(() => {
  production.remove();
  current.remove();
});

/** Builds whose leader had a follower with the other build when the service was checked. */
const leadingBuilds = new Set<buildModule.Build>();

// Guards against a landing whose processes do not work beside those that it replaces one by one, or that it leaves data
// which the last landing cannot read when it is rolled back.
suite('an upgrade and a rollback, one process after the other, serve all the time', () =>
  group.run(production, async () => {
    await group.takeSnapshots();
    await checkService();
    await replaceControlDaemons(current);
    await replace(group.gateways, current);
    await group.takeSnapshots();
    await replaceControlDaemons(production, () => replace(group.gateways.slice(1), production));
    assert.ok(leadingBuilds.has(production), 'the last landing has led followers of the new build');
    assert.ok(leadingBuilds.has(current), 'the new build has led followers of the last landing');
  }),
);

suite.run();

/** The leader comes last, so that leaders of each build have followers of the other; one follower has lost its disk. */
async function replaceControlDaemons(
  build: buildModule.Build,
  beforeLast = async () => {},
): Promise<void> {
  const { leader, followers } = group.controlDaemons();
  const [withDisk, withoutDisk] = followers;
  await replace([withDisk], build);
  await group.replaceWithEmptyDisk(withoutDisk, build);
  await checkService();
  await beforeLast();
  await replace([leader], build);
}

async function replace(names: readonly string[], build: buildModule.Build): Promise<void> {
  for (const name of names) {
    await group.replace(name, build);
    await checkService();
  }
}

async function checkService(): Promise<void> {
  await group.publish();
  await group.nameWeights();
  await group.sendRequests();
  [production, current]
    .filter((build) => group.isLedBy(build))
    .forEach((build) => leadingBuilds.add(build));
  const [first, second] = group.gateways;
  for (const [from, to] of [
    [first, second],
    [second, first],
  ]) {
    const [begun, rest] = await group.takeUpStream(from, to);
    const ids = Array.from({ length: engineModule.PIECES }, (_, index) => index + 1);
    assert.equal([...begun.ids, ...rest.ids], ids);
    assert.is(new Set([...begun.versions, ...rest.versions]).size, 1);
  }
}
