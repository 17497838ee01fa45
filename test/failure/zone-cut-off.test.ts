import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as documents from '../../src/demo/example-documents';
import * as httpCall from '../../src/demo/http-call';
import * as idempotencyKey from '../../src/demo/idempotency-key';
import * as charges from '../support/charges';
import * as chatLoad from '../support/chat-load';
import * as clusterRun from '../support/cluster-run';

const suite = uvu.suite('zone cut off');

suite(
  'a zone without majority serves idempotent requests and refuses keyed ones as not run',
  async () => {
    await clusterRun.withCluster({}, async (cluster) => {
      const [alone, ...others] = cluster.daemons;
      // Suspended peers answer nothing and keep their connections open, as behind a partition.
      others.forEach((daemon) => daemon.signal('SIGSTOP'));
      const load = new chatLoad.ChatLoad({
        concurrency: 4,
        outputTokens: 5,
        targets: () => [alone],
      });
      const key = idempotencyKey.newKey(Date.now());
      const refused = await charges.charge(alone, key);
      assert.is(refused?.headers['x-figline-verdict'], 'not-run', refused?.text);
      assert.is(await charges.executionsOf(cluster, key), 0);
      const balance = await httpCall.send({
        port: alone.callerPort,
        method: 'GET',
        path: '/ledger/balances/stall-7',
        token: documents.TEAM_TOKENS.depot,
      });
      assert.is(balance.status, 200);
      await clusterRun.until(() => load.outcomes.length > 100);
      await load.stop();
      assert.is(load.count(chatLoad.LoadResult.Right), load.outcomes.length);
      others.forEach((daemon) => daemon.signal('SIGCONT'));
      await clusterRun.until(async () => (await charges.charge(alone, key))?.status === 201);
      assert.is(await charges.executionsOf(cluster, key), 1);
    });
  },
);

suite.run();
