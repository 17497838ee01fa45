import * as crypto from 'node:crypto';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as backend from '../../backend';
import * as machineListFormat from '../../backend/machine-list-format';
import * as configuration from '../../configuration';
import * as control from '../../control';
import * as stateMachine from '../../control/state-machine';
import * as membership from '../../membership';
import * as placement from '../../placement';
import * as wire from '../../wire';
import * as documents from './documents';
import * as leastSquares from './least-squares';

/** Size of one kind of state in memory, and its encoded size where the state is sent or stored. */
export interface StateSize {
  readonly state: string;
  readonly items: number;
  readonly heapBytesPerItem: number;
  readonly encodedBytesPerItem: number;
}

/** Builds each kind of state in this process and measures the heap after a full garbage collection. */
export function measureStateSizes(): StateSize[] {
  return [
    sizeOf('team document', 10_000, documentMap(documents.team)),
    sizeOf(
      'intent document',
      10_000,
      documentMap((index) => documents.intent(`intent-${index}`)),
    ),
    sizeOf('claim with an answer of 200 bytes', 20_000, claimed),
    sizeOf('block of the learned prefix index', 50_000, learnedIndex),
    sizeOf('backend server in the membership view', DESIGN_SERVERS, membershipView),
  ];
}

/** Median CPU milliseconds to read and apply one VM list of the size in docs/design.md, 1.3. */
export function measureListReading(): number {
  const text = JSON.stringify({ machines: machines(DESIGN_SERVERS) });
  let view = membership.EMPTY_VIEW;
  const times = Array.from({ length: LIST_READINGS }, (_unused, at) => {
    const { user } = process.cpuUsage();
    const list = machineListFormat.parseMachineList(text).unwrap();
    const kind = membership.MembershipEventKind.ListRead;
    view = membership.update(view, { kind, at, machines: list }).state;
    JSON.stringify(membership.eligible(view));
    return (process.cpuUsage().user - user) / MICROSECONDS_PER_MILLISECOND;
  });
  return leastSquares.median(times);
}

/** Median CPU milliseconds of one tick of a membership view of the same size. */
export function measureTick(): number {
  let view = membership.EMPTY_VIEW;
  const { ListRead, ProbeSucceeded, Tick } = membership.MembershipEventKind;
  const list = machines(DESIGN_SERVERS);
  view = membership.update(view, { kind: ListRead, at: 0, machines: list }).state;
  list.forEach(({ id: serverId }) => {
    const report = { incarnation: 'incarnation', weightsVersion: 'weights-1', leaving: false };
    const probe = { serverId, startedAt: 1, jitter: 0.5, ...report };
    view = membership.update(view, { kind: ProbeSucceeded, at: 1, ...probe }).state;
  });
  const times = Array.from({ length: LIST_READINGS }, (_unused, at) => {
    const { user } = process.cpuUsage();
    view = membership.update(view, { kind: Tick, at: at + 2 }).state;
    return (process.cpuUsage().user - user) / MICROSECONDS_PER_MILLISECOND;
  });
  return leastSquares.median(times);
}

export function formatStateSizes(
  sizes: readonly StateSize[],
  listMilliseconds: number,
  tickMilliseconds: number,
): string {
  const rows = sizes.map(
    ({ state, items, heapBytesPerItem, encodedBytesPerItem }) =>
      `  ${state.padEnd(40)}${items.toString().padStart(8)}${heapBytesPerItem.toFixed(0).padStart(10)}${encodedBytesPerItem.toFixed(0).padStart(10)}`,
  );
  return [
    `  ${''.padEnd(40)}${'items'.padStart(8)}${'heap B'.padStart(10)}${'encoded B'.padStart(10)}`,
    ...rows,
    `  reading a list of ${DESIGN_SERVERS} VMs: ${listMilliseconds.toFixed(1)} ms CPU (median of ${LIST_READINGS})`,
    `  tick of the membership view of ${DESIGN_SERVERS} servers: ${tickMilliseconds.toFixed(2)} ms CPU`,
    '',
  ].join('\n');
}

const DESIGN_SERVERS = 2_400;
const LIST_READINGS = 30;
const MICROSECONDS_PER_MILLISECOND = 1_000;

interface BuiltState {
  readonly value: unknown;
  readonly encodedBytes: number;
}

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

function sizeOf(state: string, items: number, build: (items: number) => BuiltState): StateSize {
  // Compiles the code first, because compiled code is not part of the state.
  build(1);
  collectGarbage();
  const before = process.memoryUsage();
  const built = build(items);
  collectGarbage();
  const after = process.memoryUsage();
  const bytes = after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
  const encodedBytesPerItem = built.value === undefined ? 0 : built.encodedBytes / items;
  return { state, items, heapBytesPerItem: bytes / items, encodedBytesPerItem };
}

function documentMap(
  make: (index: number) => configuration.ConfigurationDocument,
): (items: number) => BuiltState {
  return (items) => {
    // Daemons receive documents encoded, so that no two documents share a string.
    const encoded = wire.encode(Array.from({ length: items }, (_unused, index) => make(index)));
    const decoded = wire.decode(encoded) as configuration.ConfigurationDocument[];
    const documentsByKey = new Map(
      decoded.map((entry) => [configuration.documentKey(entry), entry]),
    );
    return { value: documentsByKey, encodedBytes: encoded.length };
  };
}

function claimed(items: number): BuiltState {
  let state = stateMachine.EMPTY_CONTROL_STATE;
  for (let index = 0; index < items; index += 1) {
    const identity = {
      team: 'team-0',
      key: crypto.randomUUID(),
      attemptId: crypto.randomUUID(),
    };
    const claim: control.ClaimCommand = {
      ...identity,
      kind: control.CommandKind.Claim,
      fingerprint: crypto.randomBytes(32).toString('hex'),
      daemonId: 'entry-1',
      keyFormat: configuration.KeyFormat.Opaque,
    };
    const headers = { 'content-type': 'application/json' };
    const answer = { status: 201, headers, body: crypto.randomBytes(200) };
    const complete: control.CompleteClaimCommand = {
      ...identity,
      kind: control.CommandKind.CompleteClaim,
      answer,
    };
    state = applyReceived(applyReceived(state, claim, index), complete, index);
  }
  return { value: state, encodedBytes: stateMachine.encodeState(state).length };
}

/** Applies a command after decoding, because daemons receive commands encoded and share no memory. */
function applyReceived(
  state: stateMachine.ControlState,
  command: control.Command,
  timestamp: number,
): stateMachine.ControlState {
  const received = wire.decode(wire.encode(command)) as control.Command;
  return stateMachine.apply(state, received, timestamp).state;
}

function learnedIndex(items: number): BuiltState {
  let index = placement.EMPTY_INDEX;
  for (let item = 0; item < items; item += 1) {
    const hash = crypto.randomBytes(8).toString('hex');
    index = placement.addBlock(index, `server-${item % DESIGN_SERVERS}`, 'incarnation', hash);
  }
  return { value: index, encodedBytes: 0 };
}

function membershipView(items: number): BuiltState {
  const text = JSON.stringify({ machines: machines(items) });
  const list = machineListFormat.parseMachineList(text).unwrap();
  const kind = membership.MembershipEventKind.ListRead;
  const { state } = membership.update(membership.EMPTY_VIEW, { kind, at: 0, machines: list });
  return { value: state, encodedBytes: text.length };
}

function machines(count: number): backend.MachineRecord[] {
  return Array.from({ length: count }, (_unused, index) => ({
    id: `runner-${index}`,
    host: `10.20.${Math.floor(index / 250)}.${(index % 250) + 1}`,
    port: 9_000,
    zone: `zone-${index % 12}`,
    region: `region-${index % 5}`,
    service: `service-${index % 11}`,
    kind: backend.BackendKind.ModelEngine,
    phase: backend.MachinePhase.Live,
  }));
}
