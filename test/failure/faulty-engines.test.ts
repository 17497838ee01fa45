import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as chat from '../../src/demo/chat';
import * as documents from '../../src/demo/example-documents';
import * as localCluster from '../../src/demo/local-cluster';
import * as emulator from '../../src/emulator';
import * as chatLoad from '../support/chat-load';
import * as clusterRun from '../support/cluster-run';

const suite = uvu.suite('faulty engines');

const CRASH_MARKER = 'prompt that crashes';

function send(cluster: localCluster.LocalCluster, daemon: number, prompt: string, stream = true) {
  return chat.chat({
    port: cluster.daemons[daemon].callerPort,
    token: documents.TEAM_TOKENS.treasury,
    model: documents.INTENT.name,
    prompt,
    outputTokens: 30,
    weightsVersion: documents.MODEL_SERVICE.weightsVersion,
    stream,
  });
}

suite('streams that break, stall, skip, repeat or restart reach the caller complete', async () => {
  const { FaultKind } = emulator;
  const kinds = [
    FaultKind.Silent,
    FaultKind.ResetMidAnswer,
    FaultKind.SkipPiece,
    FaultKind.RepeatPiece,
    FaultKind.RestartText,
    FaultKind.EndEarly,
    FaultKind.CrossedId,
  ];
  // One engine: the fault occurs once, and the resumed stream is correct.
  await clusterRun.withCluster({ daemons: 2, engines: 1 }, async (cluster) => {
    for (const kind of kinds) {
      for (const stream of [true, false]) {
        const fault = { kind, atPiece: 7, path: '/v1/' };
        await Promise.all(cluster.engines.map((engine) => engine.control('fault', fault)));
        const outcome = await send(cluster, stream ? 0 : 1, `Sack with ${kind}.`, stream);
        assert.ok(outcome.isCorrect && outcome.hasEnd, `${kind}: ${outcome.raw.slice(-300)}`);
        await Promise.all(cluster.engines.map((engine) => engine.control('clear-faults')));
      }
    }
  });
});

suite('a request that crashes servers crashes at most two; other requests finish', async () => {
  const engineOptions = { crashMarker: CRASH_MARKER, restartMilliseconds: 300 };
  await clusterRun.withCluster({ engines: 5, engineOptions }, async (cluster) => {
    const incarnations = new Set<string>();
    const observe = async () => {
      const reports = await Promise.all(
        cluster.engines.map((engine) => engine.control<emulator.ServerReport>('report')),
      );
      reports.forEach((report) => incarnations.add(report.incarnation));
    };
    await observe();
    const targets = () => cluster.daemons;
    const load = new chatLoad.ChatLoad({ concurrency: 10, outputTokens: 40, targets });
    await clusterRun.until(() => load.outcomes.length > 20);
    const refusals: string[] = [];
    for (let resend = 0; resend < 9; resend += 1) {
      const outcome = await send(cluster, resend % 3, CRASH_MARKER);
      refusals.push(`${outcome.status} ${outcome.verdict}`);
      await clusterRun.pause(400);
      await observe();
    }
    await load.stop();
    const crashes = incarnations.size - cluster.engines.length;
    const summary = `${crashes} crashes; resends: ${refusals.join(', ')}`;
    process.stdout.write(`${summary}; other requests ${load.count(chatLoad.LoadResult.Right)}\n`);
    assert.ok(crashes <= 2, summary);
    assert.is(refusals.at(-1), '422 not-run', summary);
    const lost = load.outcomes.filter(({ result }) => result !== chatLoad.LoadResult.Right);
    assert.equal(lost, [], 'other requests were lost');
  });
});

suite.run();
