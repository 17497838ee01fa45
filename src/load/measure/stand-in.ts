/** Process of control nodes without the rest of a daemon; a measurement starts it with `fork`. */
import * as clock from '../../clock';
import * as control from '../../control';
import * as lifecycle from '../../lifecycle';
import * as proposalGenerator from './proposal-generator';
import * as standInMessage from './stand-in-message';

const nodes: control.ControlNode[] = [];
let generator: proposalGenerator.ProposalGenerator | undefined;

async function listen(
  nodeOptions: readonly standInMessage.StandInNode[],
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

function sample(withHeap: boolean): standInMessage.StandInSample {
  const { user, system } = process.cpuUsage();
  const links = nodes.flatMap((node) => [...node.peerTraffic()]);
  const measured = links.filter(([daemonId]) => daemonId === standInMessage.MEASURED_DAEMON);
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
    daemonSentBytes: sum(measured, 'receivedBytes'),
    daemonReceivedBytes: sum(measured, 'sentBytes'),
    proposals: generator?.proposals ?? 0,
    failedProposals: generator?.failures ?? 0,
  };
}

function heapBytes(): number {
  global.gc?.();
  return process.memoryUsage().heapUsed;
}

async function handle(request: standInMessage.StandInRequest): Promise<unknown> {
  switch (request.kind) {
    case standInMessage.StandInRequestKind.Listen:
      return listen(request.nodes, request.preSharedKey);
    case standInMessage.StandInRequestKind.Join:
      await Promise.all(nodes.map((node) => node.join(request.peers, request.replicas)));
      return undefined;
    case standInMessage.StandInRequestKind.Propose:
      return (await nodes[0].propose(request.command, PROPOSAL_MILLISECONDS)).ok;
    case standInMessage.StandInRequestKind.Generate:
      return generator?.generate(request.revisionsPerMinute, request.claimsPerSecond);
    default:
      return sample(request.withHeap);
  }
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const PROPOSAL_MILLISECONDS = 10_000;

// Longer than any measurement; a stand-in whose parent is stuck then exits.
const MAXIMUM_RUN_MILLISECONDS = 3_600_000;

process.on('message', async (request: standInMessage.StandInRequest) => {
  process.send?.({ value: await handle(request) });
});
process.once('disconnect', () => process.exit(0));
setTimeout(() => process.exit(1), MAXIMUM_RUN_MILLISECONDS).unref();
