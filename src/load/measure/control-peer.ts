/** Process of control nodes without the rest of a daemon; a measurement starts it with `fork`. */
import * as clock from '../../clock';
import * as control from '../../control';
import * as lifecycle from '../../lifecycle';
import * as proposalGenerator from './proposal-generator';
import * as controlPeerMessage from './control-peer-message';

const nodes: control.ControlNode[] = [];
let generator: proposalGenerator.ProposalGenerator | undefined;

async function listen(
  nodeOptions: readonly controlPeerMessage.ControlPeerNode[],
  preSharedKey: string,
): Promise<string[]> {
  const time = new clock.SystemClock();
  const addresses: string[] = [];
  for (const options of nodeOptions) {
    const node = new control.ControlNode({
      ...options,
      preSharedKey,
      listenHost: '127.0.0.1',
      listenPort: 0,
      peers: [],
      replicas: [],
      clock: time,
      random: new clock.SystemRandomSource(),
      lifecycle: new lifecycle.LifecycleManager(time),
    });
    addresses.push(await node.listen());
    nodes.push(node);
  }
  generator = new proposalGenerator.ProposalGenerator(nodes[0]);
  return addresses;
}

function sample(withHeap: boolean): controlPeerMessage.ControlPeerSample {
  const { user, system } = process.cpuUsage();
  const links = nodes.flatMap((node) => [...node.peerTraffic()]);
  const linksToDaemon = links.filter(
    ([daemonId]) => daemonId === controlPeerMessage.MEASURED_DAEMON,
  );
  const sum = (entries: typeof links, side: 'sentBytes' | 'receivedBytes') =>
    entries.reduce((total, [, traffic]) => total + traffic[side], 0);
  const { role, revision } = nodes[0].status();
  return {
    cpuMilliseconds: (user + system) / MICROSECONDS_PER_MILLISECOND,
    residentBytes: process.memoryUsage.rss(),
    heapBytes: withHeap ? heapBytes() : 0,
    role,
    revision,
    sentBytes: sum(links, 'sentBytes'),
    receivedBytes: sum(links, 'receivedBytes'),
    daemonSentBytes: sum(linksToDaemon, 'receivedBytes'),
    daemonReceivedBytes: sum(linksToDaemon, 'sentBytes'),
    proposals: generator?.proposals ?? 0,
    failedProposals: generator?.failures ?? 0,
  };
}

function heapBytes(): number {
  global.gc?.();
  return process.memoryUsage().heapUsed;
}

async function handle(request: controlPeerMessage.ControlPeerRequest): Promise<unknown> {
  switch (request.kind) {
    case controlPeerMessage.ControlPeerRequestKind.Listen:
      return listen(request.nodes, request.preSharedKey);
    case controlPeerMessage.ControlPeerRequestKind.Join:
      await Promise.all(nodes.map((node) => node.join(request.peers, request.replicas)));
      return undefined;
    case controlPeerMessage.ControlPeerRequestKind.Propose:
      return (await nodes[0].propose(request.command, PROPOSAL_TIMEOUT_MILLISECONDS)).ok;
    case controlPeerMessage.ControlPeerRequestKind.Generate:
      return generator?.generate(request.revisionsPerMinute, request.claimsPerSecond);
    default:
      return sample(request.withHeap);
  }
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const PROPOSAL_TIMEOUT_MILLISECONDS = 10_000;

// Longer than any measurement; the process then exits even if its parent hangs.
const MAXIMUM_RUN_MILLISECONDS = 3_600_000;

process.on('message', async (request: controlPeerMessage.ControlPeerRequest) => {
  process.send?.({ value: await handle(request) });
});
process.once('disconnect', () => process.exit(0));
setTimeout(() => process.exit(1), MAXIMUM_RUN_MILLISECONDS).unref();
