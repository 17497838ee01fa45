import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';
import * as backendProcess from '../../src/demo/backend-process';
import * as emulator from '../../src/emulator';
import * as chatLoad from '../support/chat-load';
import * as clusterRun from '../support/cluster-run';

const suite = uvu.suite('leaving server');

/** A server gets its last new request at most this long after it began to leave. */
const LIMIT_MILLISECONDS = 3_000;

async function requestCountOf(engine: backendProcess.BackendProcess): Promise<number> {
  const report = await engine.control<emulator.ServerReport>('report');
  return Object.keys(report.wholeRequests).length;
}

suite(
  'a server that only the list shows as leaving gets no requests from a daemon without list',
  async () => {
    await clusterRun.withCluster({}, async (cluster) => {
      const [leaving] = cluster.engines;
      const targets = () => cluster.daemons;
      const load = new chatLoad.ChatLoad({ concurrency: 6, outputTokens: 5, targets });
      await clusterRun.until(async () => (await requestCountOf(leaving)) > 5);
      const phase = backend.MachinePhase.Leaving;
      const machines = cluster
        .machines()
        .map((machine) => (machine.id === leaving.machine.id ? { ...machine, phase } : machine));
      await cluster.writeMachineLists(machines);
      await cluster.daemons[2].writeMachineList(undefined);
      await clusterRun.pause(LIMIT_MILLISECONDS);
      const atLimit = await requestCountOf(leaving);
      const sentBefore = load.outcomes.length;
      await clusterRun.until(() => load.outcomes.length > sentBefore + 60);
      await load.stop();
      assert.is(await requestCountOf(leaving), atLimit);
      assert.is(load.count(chatLoad.LoadResult.Right), load.outcomes.length);
    });
  },
);

suite(
  'no request fails when a server refuses as leaving while the list shows it as live',
  async () => {
    await clusterRun.withCluster({}, async (cluster) => {
      const [leaving] = cluster.engines;
      const targets = () => cluster.daemons;
      const load = new chatLoad.ChatLoad({ concurrency: 6, outputTokens: 5, targets });
      await clusterRun.until(async () => (await requestCountOf(leaving)) > 5);
      await leaving.control('leave');
      await clusterRun.pause(LIMIT_MILLISECONDS);
      const atLimit = await requestCountOf(leaving);
      const sentBefore = load.outcomes.length;
      await clusterRun.until(() => load.outcomes.length > sentBefore + 60);
      await load.stop();
      assert.is(await requestCountOf(leaving), atLimit);
      assert.is(load.count(chatLoad.LoadResult.Right), load.outcomes.length);
    });
  },
);

suite.run();
