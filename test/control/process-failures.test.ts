import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as control from '../../src/control';
import * as builder from './group-builder';
import * as processGroup from './process-group';

const suite = uvu.suite('failures of processes');
const { ClaimGranted, ClaimHeld, PublishAccepted } = control.CommandResultKind;

let group: processGroup.ProcessGroup;

suite.before.each(async () => {
  group = await processGroup.ProcessGroup.start();
});

suite.after.each(async () => {
  await group.close();
});

function others(index: number): number[] {
  return [0, 1, 2].filter((other) => other !== index);
}

/** Guards against losing an acknowledged claim or revision with the process that acknowledged it. */
suite('kill -9 of the leader loses no entry, and the restarted node has all of them', async () => {
  const leader = await group.leader();
  const [next] = others(leader);
  assert.is((await group.nodes[leader].propose(builder.claim('k', 'one'))).kind, ClaimGranted);
  assert.is((await group.nodes[leader].propose(builder.publish('p', 0))).kind, PublishAccepted);
  await group.nodes[leader].signal('SIGKILL');
  assert.is((await group.nodes[next].propose(builder.claim('k', 'two'))).kind, ClaimHeld);
  assert.is((await group.nodes[next].propose(builder.publish('q', 1))).kind, PublishAccepted);
  const status = await group.startNode(leader);
  assert.is(status.revision, 2, 'revision when ready');
});

/** Guards against acknowledgements that were only in memory. */
suite('kill -9 of every node at once loses no entry', async () => {
  const leader = await group.leader();
  await group.nodes[leader].propose(builder.claim('k', 'one'));
  await group.nodes[leader].propose(builder.publish('p', 0));
  await Promise.all(group.nodes.map((node) => node.signal('SIGKILL')));
  await Promise.all([0, 1, 2].map((index) => group.startNode(index)));
  assert.is((await group.nodes[0].propose(builder.claim('k', 'two'))).kind, ClaimHeld);
  const stale = await group.nodes[1].propose(builder.publish('late', 0));
  assert.is(stale.kind, control.CommandResultKind.PublishConflict);
});

/** Guards against a suspended leader that grants a key which its successor has granted as well. */
suite('a leader stopped by SIGSTOP is replaced, and grants nothing when it continues', async () => {
  const leader = await group.leader();
  const [next, third] = others(leader);
  await group.nodes[leader].signal('SIGSTOP');
  assert.is((await group.nodes[next].propose(builder.claim('k', 'one'))).kind, ClaimGranted);
  const late = group.nodes[leader].propose(builder.claim('k', 'two'));
  await group.nodes[leader].signal('SIGCONT');
  assert.is((await late).kind, ClaimHeld);
  assert.is((await group.nodes[third].propose(builder.claim('k', 'three'))).kind, ClaimHeld);
});

/** Guards against a second lost VM right after the first was replaced. */
suite('two disks lost one after the other are both replaced, and claims survive', async () => {
  const leader = await group.leader();
  await group.nodes[leader].propose(builder.claim('k', 'one'));
  const lost = [leader, others(leader)[0]];
  for (const index of lost) {
    const before = (await group.nodes[index].status()).replicaId;
    await group.nodes[index].signal('SIGKILL');
    await group.loseDisk(index);
    const { replicaId } = await group.startNode(index);
    assert.is.not(replicaId, before);
    await group.find(
      [0, 1, 2],
      ({ role, voters }) =>
        role === control.ReplicaRole.Leader &&
        voters.length === 3 &&
        voters.includes(replicaId!) &&
        !voters.includes(before!),
    );
  }
  assert.is((await group.nodes[lost[0]].propose(builder.claim('k', 'two'))).kind, ClaimHeld);
});

/** Guards against connections that stay open forever and carry no data. */
suite('a group whose open connections all stop carrying data reconnects and commits', async () => {
  const leader = await group.leader();
  await group.nodes[leader].propose(builder.claim('k', 'one'));
  group.proxies.forEach((proxy) => proxy.silence());
  const [next] = others(leader);
  assert.is((await group.nodes[next].propose(builder.claim('k', 'two'))).kind, ClaimHeld);
});

/** Guards against a group without a majority that grants a key. */
suite('one node of three grants no key, and two of them grant keys again', async () => {
  const leader = await group.leader();
  const [second, third] = others(leader);
  await group.nodes[second].signal('SIGKILL');
  await group.nodes[third].signal('SIGKILL');
  const alone = await group.nodes[leader].propose(builder.claim('k', 'one'), 1_500);
  assert.is.not(alone.kind, ClaimGranted);
  await group.startNode(second);
  assert.is((await group.nodes[second].propose(builder.claim('j', 'two'))).kind, ClaimGranted);
});

suite.run();
