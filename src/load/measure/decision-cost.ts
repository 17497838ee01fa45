import * as backend from '../../backend';
import * as clock from '../../clock';
import * as configuration from '../../configuration';
import * as decision from '../../decision';
import type * as membership from '../../membership';
import * as leastSquares from './least-squares';

/** Processor time of the decision core for one event of one kind. */
export interface DecisionCost {
  readonly kind: string;
  readonly events: number;
  /** Median over slices of the run. */
  readonly microseconds: number;
}

/**
 * Runs the decision core of one daemon in virtual time at the size of a large deployment: streams of two
 * kinds at 69 servers, load reports of all daemons five times a second, and ticks.
 */
export function measureDecisionCosts(): DecisionCost[] {
  const run = new CoreRun();
  run.warmUp();
  return run.costs();
}

export function formatDecisionCosts(costs: readonly DecisionCost[]): string {
  const rows = costs.map(
    ({ kind, events, microseconds }) =>
      `  ${kind.padEnd(24)}${String(events).padStart(8)}${microseconds.toFixed(1).padStart(10)}`,
  );
  const heading = `  ${'event'.padEnd(24)}${'events'.padStart(8)}${'us CPU'.padStart(10)}`;
  return [heading, ...rows, ''].join('\n');
}

/** The decision core of one daemon, its requests in flight, and the processor time of its events. */
class CoreRun {
  private state = decision.initialState({ seed: 1, zone: 'zone-0', region: 'region-0' });

  private readonly random = new clock.SeededRandomSource(7);

  private readonly timesByKind = new Map<string, number[]>();

  private running: { readonly dispatch: decision.Dispatch; piece: number; last: number }[] = [];

  private at = 1_000;

  private nextId = 0;

  constructor() {
    this.feed({ kind: Kind.ConfigurationChanged, at: 0, snapshot: snapshot() });
    this.feed({ kind: Kind.ServersChanged, at: 0, servers: SERVERS });
  }

  warmUp(): void {
    this.run(WARM_UP_SLICES);
    this.timesByKind.clear();
  }

  costs(): DecisionCost[] {
    this.run(SLICES);
    return [...this.timesByKind].map(([kind, times]) => ({
      kind,
      events: times.length,
      microseconds: leastSquares.median(slices(times)),
    }));
  }

  /** One slice is 20 ms of virtual time. */
  private run(count: number): void {
    for (let slice = 0; slice < count; slice += 1) {
      this.at += SLICE_MILLISECONDS;
      this.feed({ kind: Kind.Tick, at: this.at });
      if (slice % SLICES_PER_INTERVAL === 0) {
        this.applyReports();
      }
      if (slice % SLICES_PER_ARRIVAL === 0) {
        this.arrive();
      }
      this.advance();
    }
  }

  private advance(): void {
    this.running.forEach((stream) => {
      const { requestId, attemptId } = stream.dispatch;
      Object.assign(stream, { piece: stream.piece + 1 });
      if (stream.piece > stream.last) {
        this.feed({ kind: Kind.AttemptFinished, at: this.at, requestId, attemptId });
      } else {
        const nextPiece = stream.piece;
        this.feed({ kind: Kind.PieceReceived, at: this.at, requestId, attemptId, nextPiece });
      }
    });
    this.running = this.running.filter(({ piece, last }) => piece <= last);
  }

  private arrive(): void {
    const isLong = this.random.uniform() < LONG_SHARE;
    const team = this.random.integer(0, TEAMS);
    const session = this.random.integer(0, SESSIONS);
    const outerPrefix = `desk-model/1`;
    const chain = isLong
      ? [
          outerPrefix,
          `${outerPrefix}/${team}`,
          `${outerPrefix}/${team}/${session}`,
          `${outerPrefix}/${team}/${this.nextId}`,
        ]
      : [outerPrefix, `${outerPrefix}/${this.nextId}`];
    this.nextId += 1;
    this.feed({
      kind: Kind.RequestArrived,
      at: this.at,
      profile: {
        requestId: `request-${this.nextId}`,
        team: `team-${team}`,
        service: ENGINES,
        class: configuration.RequestClass.Short,
        prefixChain: chain,
        chainTokens: isLong ? [198, 1_398, 6_300, 9_190] : [198, 826],
        promptTokens: isLong ? 9_190 : 826,
        expectedOutputTokens: isLong ? 9 : 49,
        idempotent: true,
        priority: 1,
        maximumAttempts: 2,
        firstTokenDeadline: this.at + 5_000,
        fingerprint: `fingerprint-${this.nextId}`,
      },
    });
  }

  private applyReports(): void {
    const { at } = this;
    const placements = Array.from({ length: PLACEMENTS_PER_INTERVAL }, () => ({
      serverId: `i-${this.random.integer(0, SERVERS.length)}`,
      hashes: [this.random.integer(0, HASHES)],
    }));
    this.feed({ kind: Kind.PrefixesPlaced, at, placements });
    const loads = SERVERS.map(({ id: serverId }) => ({
      serverId,
      requests: this.random.integer(0, 8),
      prefillTokens: this.random.integer(0, 5_000),
      memoryTokens: 40_000,
    }));
    this.feed({ kind: Kind.LoadsReported, at, ageMilliseconds: 220, loads });
  }

  private feed(event: decision.DecisionEvent): void {
    const effects = this.measure(event.kind, () => {
      const step = decision.update(this.state, event);
      this.state = step.state;
      return step.effects;
    });
    effects.forEach((effect) => {
      if (effect.kind === decision.DecisionEffectKind.Dispatch) {
        const isLong = this.state.requests.get(effect.requestId)!.profile.promptTokens > 1_000;
        this.running.push({ dispatch: effect, piece: 0, last: isLong ? 9 : 49 });
      }
    });
  }

  private measure<Value>(kind: string, operation: () => Value): Value {
    const before = process.hrtime.bigint();
    const value = operation();
    const microseconds = Number(process.hrtime.bigint() - before) / NANOSECONDS_PER_MICROSECOND;
    const times = this.timesByKind.get(kind) ?? [];
    times.push(microseconds);
    this.timesByKind.set(kind, times);
    return value;
  }
}

const Kind = decision.DecisionEventKind;

const ENGINES = 'desk';
const TEAMS = 86;
const SESSIONS = 4;
const LONG_SHARE = 0.5;
const SLICE_MILLISECONDS = 20;
const SLICES_PER_INTERVAL = 10;
/** Five arrivals a second. */
const SLICES_PER_ARRIVAL = 10;
const WARM_UP_SLICES = 2_000;
const SLICES = 5_000;
/** Placements of all daemons in one interval; a message holds at most 128. */
const PLACEMENTS_PER_INTERVAL = 128;
const HASHES = 2_000;
const NANOSECONDS_PER_MICROSECOND = 1_000;
const MEDIAN_SLICES = 20;

const SERVERS: readonly membership.EligibleServer[] = Array.from(
  { length: 69 },
  (_unused, index) => ({
    id: `i-${index}`,
    host: '10.128.0.9',
    port: 8_080,
    zone: `zone-${index % 6}`,
    region: `region-${index % 3}`,
    service: index < 63 ? ENGINES : 'ledger',
    kind: index < 63 ? backend.BackendKind.ModelEngine : backend.BackendKind.PlainService,
    phase: backend.MachinePhase.Live,
    incarnation: `i-${index}@1`,
    weightsVersion: '1',
    suspected: false,
  }),
);

function snapshot(): configuration.ConfigurationSnapshot {
  const kind = configuration.DocumentKind.Service;
  const documents: configuration.ConfigurationDocument[] = [
    {
      kind,
      name: ENGINES,
      type: configuration.ServiceType.ModelEngine,
      model: 'desk-model',
      weightsVersion: '1',
      slotsPerRunner: 32,
      cacheTokensPerRunner: 71_780,
      checksFencing: true,
      prefillTokensPerSecond: 41_400,
      decodeTokensPerSecond: 120,
    },
    {
      kind,
      name: 'ledger',
      type: configuration.ServiceType.Plain,
      routes: [],
      slotsPerRunner: 6,
    },
  ];
  return {
    revision: 1,
    documents: new Map(documents.map((entry) => [configuration.documentKey(entry), entry])),
  };
}

/** Means of equal parts of a series, each long enough to include garbage collections. */
function slices(times: readonly number[]): number[] {
  const size = Math.max(1, Math.floor(times.length / MEDIAN_SLICES));
  return Array.from({ length: Math.min(MEDIAN_SLICES, times.length) }, (_unused, slice) => {
    const part = times.slice(slice * size, (slice + 1) * size);
    return part.reduce((sum, time) => sum + time, 0) / part.length;
  });
}
