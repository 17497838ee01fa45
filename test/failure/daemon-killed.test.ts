import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as daemonProcess from '../../src/demo/daemon-process';
import * as documents from '../../src/demo/example-documents';
import * as httpCall from '../../src/demo/http-call';
import * as chatLoad from '../support/chat-load';
import * as clusterRun from '../support/cluster-run';

const suite = uvu.suite('daemon killed');

/**
 * Records the revisions of consecutive answers. Answers that overlap in time do not show the order of their
 * revisions, so each request begins after the one before has ended.
 */
class RevisionMonitor {
  readonly revisions: number[] = [];

  private isStopped = false;

  private readonly running: Promise<void>;

  constructor(private readonly daemon: daemonProcess.DaemonProcess) {
    this.running = this.run();
  }

  async stop(): Promise<readonly number[]> {
    this.isStopped = true;
    await this.running;
    return this.revisions;
  }

  private async run(): Promise<void> {
    while (!this.isStopped && this.revisions.length < 50_000) {
      try {
        const answer = await httpCall.send({
          port: this.daemon.callerPort,
          method: 'GET',
          path: '/v1/models',
          token: documents.TEAM_TOKENS.depot,
        });
        if (answer.status === 200) {
          this.revisions.push(Number(answer.headers['x-figline-revision']));
        }
      } catch {
        // The daemon is being restarted.
      }
      await clusterRun.pause(5);
    }
  }
}

suite(
  'a killed daemon serves again after its restart; revisions of answers never decrease',
  async () => {
    await clusterRun.withCluster({}, async (cluster) => {
      const [, victim] = cluster.daemons;
      const targets = () => cluster.daemons.filter((daemon) => daemon.isRunning);
      const load = new chatLoad.ChatLoad({ concurrency: 8, outputTokens: 10, targets });
      const monitors = cluster.daemons.map((daemon) => new RevisionMonitor(daemon));
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
                outcome.daemonId === victim.options.daemonId &&
                outcome.result === chatLoad.LoadResult.Right &&
                outcome.revision >= revision,
            ),
        );
      }
      await load.stop();
      for (const monitor of monitors) {
        const revisions = await monitor.stop();
        const decrease = revisions.findIndex((value, index) => value < (revisions[index - 1] ?? 0));
        assert.is(
          decrease,
          -1,
          `revision decreased: ${revisions.slice(decrease - 3, decrease + 3).join()}`,
        );
        assert.is(revisions.at(-1), 4);
      }
      const affected = load.outcomes.filter(
        ({ daemonId, result }) =>
          daemonId !== victim.options.daemonId && result !== chatLoad.LoadResult.Right,
      );
      assert.equal(affected, [], 'requests through the other daemons were affected');
    });
  },
);

suite.run();
