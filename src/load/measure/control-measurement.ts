import * as backend from '../../backend';
import * as clock from '../../clock';
import * as byteCountingRelay from './byte-counting-relay';
import * as controlPoint from './control-point';
import * as documents from './documents';
import * as emulators from './emulators';
import * as controlPeerMessage from './control-peer-message';
import * as testGroup from './test-group';

/** The number that a measurement varies while all others stay at their present values. */
export enum Dimension {
  Peers = 'peers',
  Servers = 'servers',
  Teams = 'teams',
  Documents = 'documents',
  Revisions = 'revisions-per-minute',
  Claims = 'claims-per-second',
}

/** One point of a dimension. */
export interface DimensionPoint {
  readonly dimension: Dimension;
  readonly value: number;
  readonly point: controlPoint.ControlPoint;
}

/** 1, 2, 4 and 8 times the present values; the present rates of changes and claims are assumptions. */
export const DIMENSION_VALUES: Readonly<Record<Dimension, readonly number[]>> = {
  [Dimension.Peers]: [7, 14, 28, 56],
  [Dimension.Servers]: [11, 22, 44, 88],
  [Dimension.Teams]: [8, 16, 32, 64],
  [Dimension.Documents]: [3, 6, 12, 24],
  [Dimension.Revisions]: [30, 60, 120, 240],
  [Dimension.Claims]: [5, 10, 20, 40],
};

/**
 * Measures one dimension at each of its values. The daemon under test gets no requests of callers.
 *
 * @example
 * await measureDimension(Dimension.Teams, DIMENSION_VALUES[Dimension.Teams], 8_000);
 */
export async function measureDimension(
  dimension: Dimension,
  values: readonly number[],
  windowMilliseconds: number,
): Promise<DimensionPoint[]> {
  const points: DimensionPoint[] = [];
  for (const value of values) {
    const point = await measureValue(dimension, value, windowMilliseconds);
    points.push({ dimension, value, point });
  }
  return points;
}

// Connecting the links, the first probes and the first polls take less than this.
const SETTLE_MILLISECONDS = 4_000;

const ENGINE_SHARE = 8 / 11;
const ENGINE_PROCESSES = 2;

async function measureValue(
  dimension: Dimension,
  value: number,
  windowMilliseconds: number,
): Promise<controlPoint.ControlPoint> {
  const group = new testGroup.TestGroup();
  const servers = new emulators.Emulators();
  const relays: byteCountingRelay.ByteCountingRelay[] = [];
  const valueFor = (which: Dimension) => (which === dimension ? value : DIMENSION_VALUES[which][0]);
  try {
    const records = await startServers(servers, valueFor(Dimension.Servers), relays);
    await group.start(valueFor(Dimension.Peers), records);
    await addDocuments(group, valueFor(Dimension.Teams), valueFor(Dimension.Documents));
    await group.peerProcesses[testGroup.REPLICAS].call({
      kind: controlPeerMessage.ControlPeerRequestKind.Generate,
      revisionsPerMinute: dimension === Dimension.Revisions ? value : 0,
      claimsPerSecond: dimension === Dimension.Claims ? value : 0,
    });
    await new clock.SystemClock().sleep(SETTLE_MILLISECONDS);
    return await controlPoint.measurePoint(group, relays, windowMilliseconds);
  } finally {
    await group.stop();
    await servers.stop();
    relays.forEach((relay) => relay.close());
  }
}

/** Starts emulated servers behind relays that count their bytes. */
async function startServers(
  servers: emulators.Emulators,
  count: number,
  relays: byteCountingRelay.ByteCountingRelay[],
): Promise<emulators.EmulatedServer[]> {
  const engines = Math.round(count * ENGINE_SHARE);
  await servers.start({
    engines,
    plainServices: count - engines,
    engineProcesses: ENGINE_PROCESSES,
    slots: 64,
    decodeTokensPerSecond: 200,
  });
  const records: { kind: backend.BackendKind; port: number }[] = [];
  for (const { kind, port } of servers.servers) {
    const relay = new byteCountingRelay.ByteCountingRelay(port);
    relays.push(relay);
    records.push({ kind, port: await relay.listen() });
  }
  return records;
}

async function addDocuments(
  group: testGroup.TestGroup,
  teams: number,
  others: number,
): Promise<void> {
  const base = DIMENSION_VALUES[Dimension.Documents][0];
  const added = [
    ...range(testGroup.TEAMS, teams).map(documents.team),
    ...range(base, others).map((index) => documents.intent(`intent-${index}`)),
  ];
  if (added.length > 0) {
    await group.publish(added);
  }
}

function range(from: number, to: number): number[] {
  return Array.from({ length: Math.max(0, to - from) }, (_unused, index) => from + index);
}
