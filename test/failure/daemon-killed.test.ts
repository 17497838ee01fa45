import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as documents from '../../src/demo/example-documents';
import * as chatLoad from '../support/chat-load';
import * as clusterRun from '../support/cluster-run';

const suite = uvu.suite('daemon killed');

suite(
  'a killed daemon serves again after its restart; revisions of answers never fall',
  async () => {
    await clusterRun.withCluster({}, async (cluster) => {
      const [, victim] = cluster.daemons;
      const targets = () => cluster.daemons.filter((daemon) => daemon.isRunning);
      const load = new chatLoad.ChatLoad({ concurrency: 8, outputTokens: 10, targets });
      for (let round = 0; round < 3; round += 1) {
        const revision = await cluster.publish([{ ...documents.INTENT, priority: round }]);
        await clusterRun.pause(300);
        await victim.kill();
        await victim.start();
        const listening = Date.now();
        await victim.awaitReady();
        process.stdout.write(`ready ${Date.now() - listening} ms after its listeners\n`);
        const before = load.outcomes.length;
        await clusterRun.until(() =>
          load.outcomes
            .slice(before)
            .some(
              (outcome) =>
                outcome.daemonId === victim.plan.daemonId &&
                outcome.result === chatLoad.LoadResult.Right &&
                outcome.revision >= revision,
            ),
        );
      }
      await load.stop();
      cluster.daemons.forEach((daemon) => {
        const revisions = load.outcomes
          .filter(({ daemonId, revision }) => daemonId === daemon.plan.daemonId && revision > 0)
          .map(({ revision }) => revision);
        const isRising = revisions.every((value, index) => value >= (revisions[index - 1] ?? 0));
        assert.ok(isRising, `revisions of ${daemon.plan.daemonId}: ${revisions.join()}`);
      });
      const foreign = load.outcomes.filter(
        ({ daemonId, result }) =>
          daemonId !== victim.plan.daemonId && result !== chatLoad.LoadResult.Right,
      );
      assert.equal(foreign, [], 'requests through the other daemons were affected');
    });
  },
);

suite.run();
