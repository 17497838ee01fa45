import * as zod from 'zod';
import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';
import type * as placement from '../placement';
import type * as placementBuffer from './placement-buffer';

enum MessageKind {
  /** Work of the sender. */
  Own = 'own',
  /** Work of all daemons. */
  Sums = 'sums',
}

/** Work in flight at one backend server. */
export interface InFlightLoad {
  readonly serverId: string;
  readonly requests: number;
  readonly prefillTokens: number;
  readonly memoryTokens: number;
}

/** What the exchange works with. */
export interface LoadExchangePorts {
  readonly plane: Pick<
    control.ControlPlane,
    'leadership' | 'broadcast' | 'sendToLeader' | 'onBroadcast'
  >;
  readonly time: clock.Clock;
  /** Where this daemon has sent prefixes, or, at the leader, where others have. */
  readonly placementBuffer: placementBuffer.PlacementBuffer;
}

type Listener = (
  loads: readonly InFlightLoad[],
  placings: readonly placement.PrefixPlacement[],
) => void;

/**
 * Load pattern: several daemons send to the same engines, and each sees only its own requests; at the crest
 * of a swing all of them pick the engine that looks idle. Each daemon tells the control leader its requests
 * in flight and where it has sent prefixes, and the leader tells all of them the sums. The messages grow
 * with the backend servers, not with the daemons.
 */
export class LoadExchange {
  /** Work of each daemon, and when it was told. */
  private readonly told = new Map<string, { at: number; loads: readonly InFlightLoad[] }>();

  private lastText = NO_LOADS;

  /** Term of the leader that was told the last text. */
  private toldTerm: number | undefined;

  /** Term in which this daemon leads, and since when. */
  private ledTerm: number | undefined;

  private ledSince = Number.NEGATIVE_INFINITY;

  private timer: clock.Timer | undefined;

  private readonly unsubscribe: () => void;

  constructor(
    private readonly ports: LoadExchangePorts,
    private readonly ownLoads: () => readonly InFlightLoad[],
    private readonly onSums: Listener,
  ) {
    this.unsubscribe = ports.plane.onBroadcast(control.PeerTopic.Load, (payload, from) =>
      this.hear(payload, from),
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
      this.tellSums(term);
    } else {
      this.tellOwn(term);
    }
    this.timer = this.ports.time.setTimer(INTERVAL_MILLISECONDS, () => this.tick());
  }

  /** A leader that is new sums up once the others have had the time to tell it their work. */
  private tellSums(term: number): void {
    const now = this.ports.time.monotonic();
    if (this.ledTerm !== term) {
      this.ledTerm = term;
      this.ledSince = now;
      this.lastText = '';
    }
    if (now - this.ledSince < FIRST_SUMS_MILLISECONDS) {
      return;
    }
    const loads = this.sums();
    const text = JSON.stringify(loads);
    const placings = this.ports.placementBuffer.drain();
    if (text !== this.lastText || placings.length > 0) {
      this.lastText = text;
      const payload = encodeMessage(MessageKind.Sums, loads, placings);
      this.ports.plane.broadcast(control.PeerTopic.Load, payload);
    }
  }

  /** A new leader knows nothing, so that what was told to the one before is told again. */
  private tellOwn(term: number): void {
    this.told.clear();
    this.ledTerm = undefined;
    if (this.toldTerm !== term) {
      this.toldTerm = term;
      this.lastText = NO_LOADS;
    }
    const loads = this.ownLoads();
    const text = JSON.stringify(loads);
    const placings = this.ports.placementBuffer.drain();
    if (text !== this.lastText || placings.length > 0) {
      const payload = encodeMessage(MessageKind.Own, loads, placings);
      if (this.ports.plane.sendToLeader(control.PeerTopic.Load, payload)) {
        this.lastText = text;
      }
    }
  }

  private sums(): readonly InFlightLoad[] {
    const now = this.ports.time.monotonic();
    const sums = new Map<string, InFlightLoad>();
    this.told.forEach(({ at, loads }, daemonId) => {
      if (now - at > FORGET_MILLISECONDS) {
        this.told.delete(daemonId);
        return;
      }
      loads.forEach((load) => sums.set(load.serverId, add(sums.get(load.serverId), load)));
    });
    return [...sums.values()];
  }

  private hear(payload: unknown, from: string): void {
    const parsed = messageSchema.safeParse(payload);
    if (!parsed.success) {
      logger.warning('peer sent a malformed load message');
      return;
    }
    const loads = parsed.data.loads.map(decode);
    const placings = (parsed.data.placings ?? []).map(decodePlacing);
    if (parsed.data.kind === MessageKind.Sums) {
      this.onSums(loads, placings);
    } else if (this.ports.plane.leadership().role === control.ReplicaRole.Leader) {
      placings.forEach((placing) => this.ports.placementBuffer.add(placing));
      this.told.set(from, { at: this.ports.time.monotonic(), loads });
    }
  }
}

const logger = new logging.Logger('load');

const messageSchema = zod.object({
  kind: zod.enum(MessageKind),
  /** Server, requests, prompt tokens whose prefill has not ended, tokens held in memory. */
  loads: zod.array(zod.tuple([zod.string(), zod.number(), zod.number(), zod.number()])),
  /** Server, hashes of the prefixes that were sent to it. */
  placings: zod.array(zod.tuple([zod.string(), zod.array(zod.int())])).optional(),
});

function encodeMessage(
  kind: MessageKind,
  loads: readonly InFlightLoad[],
  placings: readonly placement.PrefixPlacement[],
): object {
  return {
    kind,
    loads: loads.map(encode),
    ...(placings.length === 0 ? {} : { placings: placings.map(encodePlacing) }),
  };
}

type EncodedPlacing = [string, number[]];

function encodePlacing({ serverId, hashes }: placement.PrefixPlacement): EncodedPlacing {
  return [serverId, [...hashes]];
}

function decodePlacing([serverId, hashes]: EncodedPlacing): placement.PrefixPlacement {
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

/** An engine takes about this long to read two long prompts. */
const INTERVAL_MILLISECONDS = 200;

/** A daemon with work sends changes several times a second; one that is silent has stopped. */
const FORGET_MILLISECONDS = 5_000;

/** The other daemons hear of a new leader at once and tell it their work within one interval. */
const FIRST_SUMS_MILLISECONDS = 2 * INTERVAL_MILLISECONDS;

const NO_LOADS = '[]';
