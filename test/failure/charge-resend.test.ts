import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as idempotencyKey from '../../src/demo/idempotency-key';
import * as charges from '../support/charges';
import * as clusterRun from '../support/cluster-run';

const suite = uvu.suite('charge resend');

/** Delays after sending at which the router is killed: before, during and after the claim. */
const KILL_AFTER_MILLISECONDS = [0, 5, 15, 60, 250];

suite('a charge whose router was killed before it answered never runs twice', async () => {
  await clusterRun.withCluster(
    { serviceOptions: { serviceMilliseconds: 200 } },
    async (cluster) => {
      const [first, ...others] = cluster.daemons;
      for (const delay of KILL_AFTER_MILLISECONDS) {
        const key = idempotencyKey.newKey(Date.now());
        const lost = charges.charge(first, key);
        await clusterRun.pause(delay);
        await first.kill();
        await lost;
        const resent = await Promise.all(others.map((daemon) => charges.charge(daemon, key)));
        await first.start();
        await first.awaitReady();
        resent.push(await charges.charge(first, key));
        const executions = await charges.executionsOf(cluster, key);
        const verdicts = resent.map((answer) => answer?.headers['x-figline-verdict']).join();
        assert.ok(executions <= 1, `${executions} executions, killed after ${delay} ms`);
        const isReportedAsRan = verdicts.includes('ran');
        assert.ok(
          executions === 1 || !isReportedAsRan,
          `reported as ran, but did not run: ${verdicts}`,
        );
      }
    },
  );
});

suite('a charge is answered from the record by every other daemon', async () => {
  await clusterRun.withCluster({}, async (cluster) => {
    const key = idempotencyKey.newKey(Date.now());
    const answers = [];
    for (const daemon of cluster.daemons) {
      answers.push((await charges.charge(daemon, key))?.text);
    }
    assert.is(new Set(answers).size, 1);
    assert.is(await charges.executionsOf(cluster, key), 1);
  });
});

suite('one key sent through every daemon at once runs once', async () => {
  await clusterRun.withCluster({}, async (cluster) => {
    for (let round = 0; round < 10; round += 1) {
      const key = idempotencyKey.newKey(Date.now());
      await Promise.all(cluster.daemons.map((daemon) => charges.charge(daemon, key)));
      assert.is(await charges.executionsOf(cluster, key), 1);
    }
  });
});

suite.run();
