import * as clock from '../../clock';
import * as control from '../../control';
import type * as byteCountingRelay from './byte-counting-relay';
import * as processUsage from './process-usage';
import * as controlPeerMessage from './control-peer-message';
import * as testGroup from './test-group';

/** Resources that control uses in one process during a window. */
export interface RoleCost {
  readonly cpuPercent: number;
  readonly residentMegabytes: number;
  /** Bytes in both directions on links to peers. */
  readonly linkBytesPerSecond: number;
}

/** One measurement of the daemon without a replica and of the control nodes of the replicas. */
export interface ControlPoint {
  readonly daemon: RoleCost;
  /** Bytes in both directions of the daemon's polls, probes and cache event reads at backend servers. */
  readonly backendBytesPerSecond: number;
  readonly backendConnectionsPerSecond: number;
  readonly leader: RoleCost;
  /** Mean of the followers. */
  readonly follower: RoleCost;
  readonly proposer: RoleCost;
  readonly proposalsPerSecond: number;
  readonly failedProposals: number;
}

/** Measures a group for one window. */
export async function measurePoint(
  group: testGroup.TestGroup,
  relays: readonly byteCountingRelay.ByteCountingRelay[],
  windowMilliseconds: number,
): Promise<ControlPoint> {
  const time = new clock.SystemClock();
  const before = await readAll(group, relays, time);
  await time.sleep(windowMilliseconds);
  const after = await readAll(group, relays, time);
  const seconds = (after.at - before.at) / 1_000;
  const nodes = after.peerSamples.slice(0, testGroup.REPLICAS + 1).map((sample, index) => ({
    role: sample.role,
    cost: peerCost(before.peerSamples[index], sample, seconds),
  }));
  const replicas = nodes.slice(0, testGroup.REPLICAS);
  const { Leader } = control.ReplicaRole;
  const proposer = after.peerSamples[testGroup.REPLICAS];
  const proposerBefore = before.peerSamples[testGroup.REPLICAS];
  return {
    daemon: {
      cpuPercent: percent(after.usage.cpuMilliseconds - before.usage.cpuMilliseconds, seconds),
      residentMegabytes: after.usage.residentBytes / MEGABYTE,
      linkBytesPerSecond: (daemonBytes(after) - daemonBytes(before)) / seconds,
    },
    backendBytesPerSecond: (after.backendBytes - before.backendBytes) / seconds,
    backendConnectionsPerSecond: (after.connections - before.connections) / seconds,
    leader: meanCost(replicas.filter(({ role }) => role === Leader).map(({ cost }) => cost)),
    follower: meanCost(replicas.filter(({ role }) => role !== Leader).map(({ cost }) => cost)),
    proposer: nodes[testGroup.REPLICAS].cost,
    proposalsPerSecond: (proposer.proposals - proposerBefore.proposals) / seconds,
    failedProposals: proposer.failedProposals - proposerBefore.failedProposals,
  };
}

interface Reading {
  readonly at: number;
  readonly usage: processUsage.ProcessUsage;
  readonly peerSamples: readonly controlPeerMessage.ControlPeerSample[];
  readonly backendBytes: number;
  readonly connections: number;
}

const MEGABYTE = 1_000_000;

async function readAll(
  group: testGroup.TestGroup,
  relays: readonly byteCountingRelay.ByteCountingRelay[],
  time: clock.Clock,
): Promise<Reading> {
  const kind = controlPeerMessage.ControlPeerRequestKind.Sample;
  const peerSamples = await Promise.all(
    group.peerProcesses.map((peerProcess) =>
      peerProcess.call<controlPeerMessage.ControlPeerSample>({ kind, withHeap: false }),
    ),
  );
  return {
    at: time.monotonic(),
    usage: processUsage.readUsage(group.daemon.pid),
    peerSamples,
    backendBytes: relays.reduce((sum, { counts }) => sum + counts.bytes, 0),
    connections: relays.reduce((sum, { counts }) => sum + counts.connections, 0),
  };
}

function daemonBytes(reading: Reading): number {
  return reading.peerSamples.reduce(
    (sum, sample) => sum + sample.daemonSentBytes + sample.daemonReceivedBytes,
    0,
  );
}

function peerCost(
  before: controlPeerMessage.ControlPeerSample,
  after: controlPeerMessage.ControlPeerSample,
  seconds: number,
): RoleCost {
  const bytes = (sample: controlPeerMessage.ControlPeerSample) =>
    sample.sentBytes + sample.receivedBytes;
  return {
    cpuPercent: percent(after.cpuMilliseconds - before.cpuMilliseconds, seconds),
    residentMegabytes: after.residentBytes / MEGABYTE,
    linkBytesPerSecond: (bytes(after) - bytes(before)) / seconds,
  };
}

function percent(cpuMilliseconds: number, seconds: number): number {
  return cpuMilliseconds / seconds / 10;
}

function meanCost(costs: readonly RoleCost[]): RoleCost {
  const mean = (field: keyof RoleCost) =>
    costs.reduce((sum, cost) => sum + cost[field], 0) / costs.length;
  return {
    cpuPercent: mean('cpuPercent'),
    residentMegabytes: mean('residentMegabytes'),
    linkBytesPerSecond: mean('linkBytesPerSecond'),
  };
}
