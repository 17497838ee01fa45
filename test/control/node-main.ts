import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as lifecycle from '../../src/lifecycle';
import * as nodeMessage from './node-message';

/** A control node in a process of its own, controlled over the channel to its parent. */
async function main(): Promise<void> {
  const settings = JSON.parse(process.argv[2]) as nodeMessage.NodeSettings;
  const time = new clock.SystemClock();
  const node = new control.ControlNode({
    ...settings,
    zone: 'zone',
    listenHost: '127.0.0.1',
    peers: [],
    replicas: [],
    preSharedKey: 'test-key',
    clock: time,
    random: new clock.SystemRandomSource(),
    lifecycle: new lifecycle.LifecycleManager(time),
  });
  process.on('message', async (request: nodeMessage.NodeRequest) => {
    process.send?.({ id: request.id, value: await answer(node, request) });
  });
  // A test that was killed must not leave its processes behind.
  process.on('disconnect', () => process.exit());
  await node.listen();
  process.send?.({ id: 0, value: node.listeningPort });
}

async function answer(
  node: control.ControlNode,
  request: nodeMessage.NodeRequest,
): Promise<unknown> {
  switch (request.kind) {
    case nodeMessage.NodeMessageKind.Join:
      await node.join(request.peers ?? [], request.replicas ?? []);
      await node.ready();
      return node.status();
    case nodeMessage.NodeMessageKind.Propose: {
      const result = await node.propose(request.command!, request.timeoutMilliseconds!);
      return result.ok ? result.val : { kind: result.val };
    }
    default:
      return node.status();
  }
}

main();
