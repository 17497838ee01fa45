import * as zod from 'zod';
import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';
import type * as placement from '../placement';
import type * as placementBuffer from './placement-buffer';

enum MessageKind {
  /** Load in flight from the sender. */
  Own = 'own',
  /** Load in flight from all daemons. */
  Sums = 'sums',
}

/** Load of the requests in flight at one backend server. */
export interface InFlightLoad {
  readonly serverId: string;
  readonly requests: number;
  readonly prefillTokens: number;
  readonly memoryTokens: number;
}

/** Dependencies of the load exchange. */
export interface LoadExchangePorts {
  readonly plane: Pick<
    control.ControlPlane,
    'leadership' | 'broadcast' | 'sendToLeader' | 'onBroadcast'
  >;
  readonly time: clock.Clock;
  /** Servers to which this daemon has sent prefixes; at the leader, those to which the other daemons have. */
  readonly placementBuffer: placementBuffer.PlacementBuffer;
}

type SumsListener = (
  loads: readonly InFlightLoad[],
  placements: readonly placement.PrefixPlacement[],
) => void;

/**
 * Load pattern: several daemons send requests to the same engines, and each sees only its own requests, so that at a
 * load peak all of them choose the engine that looks idle to each. Each daemon therefore reports to the control leader
 * its load in flight and the servers to which it has sent prefixes, and the leader broadcasts the sums. The size of a
 * message depends on the number of backend servers, not of daemons.
 */
export class LoadExchange {
  /** Last reported load of each daemon, and when the report arrived. */
  private readonly reports = new Map<string, { at: number; loads: readonly InFlightLoad[] }>();

  /** The loads in the last message of this daemon, as JSON text. */
  private lastSentLoads = NO_LOADS;

  /** Term of the leader to which the last report was sent. */
  private reportedTerm: number | undefined;

  /** Term in which this daemon leads. */
  private ledTerm: number | undefined;

  private ledSince = Number.NEGATIVE_INFINITY;

  private timer: clock.Timer | undefined;

  private readonly unsubscribe: () => void;

  constructor(
    private readonly ports: LoadExchangePorts,
    private readonly ownLoads: () => readonly InFlightLoad[],
    private readonly onSums: SumsListener,
  ) {
    this.unsubscribe = ports.plane.onBroadcast(control.PeerTopic.Load, (payload, from) =>
      this.receive(payload, from),
    );
    this.tick();
  }

  close(): void {
    this.unsubscribe();
    this.timer?.cancel();
  }

  private tick(): void {
    const { role, term } = this.ports.plane.leadership();
    if (role === control.ReplicaRole.Leader) {
      this.broadcastSums(term);
    } else {
      this.reportOwn(term);
    }
    this.timer = this.ports.time.setTimer(INTERVAL_MILLISECONDS, () => this.tick());
  }

  /** Broadcasts the sums; a new leader first waits until the other daemons have had time to report their load. */
  private broadcastSums(term: number): void {
    const now = this.ports.time.monotonic();
    if (this.ledTerm !== term) {
      this.ledTerm = term;
      this.ledSince = now;
      this.lastSentLoads = '';
    }
    if (now - this.ledSince < FIRST_SUMS_DELAY_MILLISECONDS) {
      return;
    }
    const loads = this.sums();
    const text = JSON.stringify(loads);
    const placements = this.ports.placementBuffer.drain();
    if (text !== this.lastSentLoads || placements.length > 0) {
      this.lastSentLoads = text;
      const payload = encodeMessage(MessageKind.Sums, loads, placements);
      this.ports.plane.broadcast(control.PeerTopic.Load, payload);
    }
  }

  /** Reports the load of this daemon; a new leader has no reports yet, so that an unchanged load is reported again. */
  private reportOwn(term: number): void {
    this.reports.clear();
    this.ledTerm = undefined;
    if (this.reportedTerm !== term) {
      this.reportedTerm = term;
      this.lastSentLoads = NO_LOADS;
    }
    const loads = this.ownLoads();
    const text = JSON.stringify(loads);
    const placements = this.ports.placementBuffer.drain();
    if (text !== this.lastSentLoads || placements.length > 0) {
      const payload = encodeMessage(MessageKind.Own, loads, placements);
      if (this.ports.plane.sendToLeader(control.PeerTopic.Load, payload)) {
        this.lastSentLoads = text;
      }
    }
  }

  private sums(): readonly InFlightLoad[] {
    const now = this.ports.time.monotonic();
    const sums = new Map<string, InFlightLoad>();
    this.reports.forEach(({ at, loads }, daemonId) => {
      if (now - at > REPORT_EXPIRY_MILLISECONDS) {
        this.reports.delete(daemonId);
        return;
      }
      loads.forEach((load) => sums.set(load.serverId, add(sums.get(load.serverId), load)));
    });
    return [...sums.values()];
  }

  private receive(payload: unknown, from: string): void {
    const parsed = messageSchema.safeParse(payload);
    if (!parsed.success) {
      logger.warning('load message of a peer is malformed; it is ignored');
      return;
    }
    const loads = parsed.data.loads.map(decode);
    const placements = (parsed.data.placings ?? []).map(decodePlacement);
    if (parsed.data.kind === MessageKind.Sums) {
      this.onSums(loads, placements);
    } else if (this.ports.plane.leadership().role === control.ReplicaRole.Leader) {
      placements.forEach((placement) => this.ports.placementBuffer.add(placement));
      this.reports.set(from, { at: this.ports.time.monotonic(), loads });
    }
  }
}

const logger = new logging.Logger('load');

const messageSchema = zod.object({
  kind: zod.enum(MessageKind),
  /** Server, requests, prompt tokens whose prefill has not ended, tokens in memory. */
  loads: zod.array(zod.tuple([zod.string(), zod.number(), zod.number(), zod.number()])),
  /** Server, hashes of the prefixes that were sent to it. */
  placings: zod.array(zod.tuple([zod.string(), zod.array(zod.int())])).optional(),
});

function encodeMessage(
  kind: MessageKind,
  loads: readonly InFlightLoad[],
  placements: readonly placement.PrefixPlacement[],
): object {
  return {
    kind,
    loads: loads.map(encode),
    ...(placements.length === 0 ? {} : { placings: placements.map(encodePlacement) }),
  };
}

type EncodedPlacement = [string, number[]];

function encodePlacement({ serverId, hashes }: placement.PrefixPlacement): EncodedPlacement {
  return [serverId, [...hashes]];
}

function decodePlacement([serverId, hashes]: EncodedPlacement): placement.PrefixPlacement {
  return { serverId, hashes };
}

type Encoded = [string, number, number, number];

function encode({ serverId, requests, prefillTokens, memoryTokens }: InFlightLoad): Encoded {
  return [serverId, requests, Math.round(prefillTokens), Math.round(memoryTokens)];
}

function decode([serverId, requests, prefillTokens, memoryTokens]: Encoded): InFlightLoad {
  return { serverId, requests, prefillTokens, memoryTokens };
}

function add(sum: InFlightLoad | undefined, load: InFlightLoad): InFlightLoad {
  return sum === undefined
    ? load
    : {
        serverId: load.serverId,
        requests: sum.requests + load.requests,
        prefillTokens: sum.prefillTokens + load.prefillTokens,
        memoryTokens: sum.memoryTokens + load.memoryTokens,
      };
}

/** About the time in which an engine prefills two long prompts. */
const INTERVAL_MILLISECONDS = 200;

/** A daemon with requests in flight reports several times a second; after this time without a report it has stopped. */
const REPORT_EXPIRY_MILLISECONDS = 5_000;

/** The other daemons detect a new leader at once and report to it within one interval. */
const FIRST_SUMS_DELAY_MILLISECONDS = 2 * INTERVAL_MILLISECONDS;

const NO_LOADS = '[]';
