import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as daemonProcess from '../../src/demo/daemon-process';
import * as documents from '../../src/demo/example-documents';
import * as localCluster from '../../src/demo/local-cluster';
import * as chatLoad from '../support/chat-load';
import * as clusterRun from '../support/cluster-run';

const suite = uvu.suite('graceful stop');

const MINIMUM_REQUESTS = 500;

/** Selects daemons as a load balancer does: by readiness, checked every 200 ms. */
function balance(cluster: localCluster.LocalCluster): {
  targets: () => readonly daemonProcess.DaemonProcess[];
  close: () => void;
} {
  let ready: daemonProcess.DaemonProcess[] = [...cluster.daemons];
  const timer = setInterval(async () => {
    const states = await Promise.all(cluster.daemons.map((daemon) => daemon.isReady()));
    ready = cluster.daemons.filter((_, index) => states[index]);
  }, 200);
  return { targets: () => ready, close: () => clearInterval(timer) };
}

suite('daemons and backend servers stop one after another and no request is cut', async () => {
  await clusterRun.withCluster({ engines: 3 }, async (cluster) => {
    const { targets, close } = balance(cluster);
    const load = new chatLoad.ChatLoad({ concurrency: 12, outputTokens: 40, targets });
    for (const daemon of cluster.daemons) {
      assert.is(await daemon.stop(), 0, `exit code of ${daemon.options.daemonId}`);
      await daemon.start();
      await daemon.awaitReady();
    }
    for (const [index, engine] of [...cluster.engines].entries()) {
      await cluster.addEngine(`new-desk-${index}`, documents.ENGINE_OPTIONS);
      await cluster.writeMachineLists(cluster.machines());
      await clusterRun.pause(1_500);
      await engine.stop();
    }
    await clusterRun.until(() => load.outcomes.length >= MINIMUM_REQUESTS);
    await load.stop();
    close();
    const { Cut, Failed, NotRun, Right } = chatLoad.LoadResult;
    process.stdout.write(`right ${load.count(Right)}, refused as not run ${load.count(NotRun)}\n`);
    assert.is(load.count(Cut), 0, load.details(Cut));
    assert.is(load.count(Failed), 0, load.details(Failed));
    assert.ok(load.count(Right) >= MINIMUM_REQUESTS);
  });
});

suite.run();
