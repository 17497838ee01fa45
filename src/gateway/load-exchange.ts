import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';
import * as placement from '../placement';
import * as loadMessage from './load-message';
import * as loadTable from './load-table';
import type * as placementBuffer from './placement-buffer';
import type * as streamReport from './stream-report';

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

/** What a daemon reports of its own requests. */
export interface OwnReport {
  readonly loads: () => readonly loadTable.InFlightLoad[];
  /** Recent demand for at most this many prefixes. */
  readonly demand: (maximumKeys: number) => placement.DemandReport;
  /** Absent at daemons that begin no streams. */
  readonly streams?: Pick<streamReport.StreamReport, 'unsent' | 'markSent' | 'repeat'>;
}

/** The sums of all daemons, or the servers to which other daemons have sent prefixes. */
export interface ReceivedSums {
  readonly loads: readonly loadTable.InFlightLoad[];
  readonly placements: readonly placement.PrefixPlacement[];
  /** Absent from most messages. */
  readonly demand?: placement.DemandReport;
  /** Mean age of the loads. */
  readonly ageMilliseconds: number;
}

/**
 * Load pattern: several daemons send requests to the same engines, and each sees only its own requests, so that at a
 * load peak all of them choose the engine that looks idle to each. Each daemon therefore reports to the control leader
 * its load in flight and the servers to which it has sent prefixes, and the leader broadcasts the sums. The size of a
 * message depends on the number of backend servers, not of daemons; the interval grows with the number of daemons, so
 * that the leader handles a limited number of messages a second.
 */
export class LoadExchange {
  /** Last reported load of each daemon, and when the report arrived. */
  private readonly reports = new Map<string, Report>();

  /** When this daemon last sent its demand, or as leader that of all daemons. */
  private demandSentAt = Number.NEGATIVE_INFINITY;

  /** The loads in the last message of this daemon, as JSON text. */
  private lastSentLoads = NO_LOADS;

  /** Servers of the rows in the tables of the leader, and how often the list has changed. */
  private servers: { readonly edition: number; readonly ids: readonly string[] } = {
    edition: 0,
    ids: [],
  };

  /** When this daemon last broadcast the list of servers as leader. */
  private serversSentAt = Number.NEGATIVE_INFINITY;

  /** Term of the leader to which the last report was sent. */
  private reportedTerm: number | undefined;

  /** Term in which this daemon leads. */
  private ledTerm: number | undefined;

  private ledSince = Number.NEGATIVE_INFINITY;

  /** Interval of the leader's messages. */
  private intervalMilliseconds = SHORTEST_INTERVAL_MILLISECONDS;

  private timer: clock.Timer | undefined;

  private readonly unsubscribe: () => void;

  constructor(
    private readonly ports: LoadExchangePorts,
    private readonly own: OwnReport,
    private readonly onSums: (sums: ReceivedSums) => void,
    /** Called at the leader with streams that a daemon has begun. */
    private readonly onBegunStreams: (begun: readonly control.BegunStreams[]) => void = () => {},
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
    this.timer = this.ports.time.setTimer(this.intervalMilliseconds, () => this.tick());
  }

  /** Broadcasts the sums; a new leader first waits until the other daemons have had time to report their load. */
  private broadcastSums(term: number): void {
    const now = this.ports.time.monotonic();
    if (this.ledTerm !== term) {
      this.ledTerm = term;
      this.ledSince = now;
      this.lastSentLoads = '';
      this.serversSentAt = Number.NEGATIVE_INFINITY;
    }
    if (now - this.ledSince < FIRST_SUMS_DELAY_INTERVALS * this.intervalMilliseconds) {
      return;
    }
    const sums = this.sums();
    this.intervalMilliseconds = intervalFor(this.reports.size);
    const text = JSON.stringify([...sums.values()]);
    const placements = this.ports.placementBuffer.drain();
    if (text !== this.lastSentLoads || placements.length > 0) {
      this.lastSentLoads = text;
      this.ports.plane.broadcast(control.PeerTopic.Load, this.sumsMessage(sums, placements, now));
    }
  }

  private sumsMessage(
    sums: ReadonlyMap<string, loadTable.InFlightLoad>,
    placements: readonly placement.PrefixPlacement[],
    now: number,
  ): object {
    this.addServers([...sums.keys(), ...placements.map(({ serverId }) => serverId)]);
    const { edition, ids } = this.servers;
    const isListDue = now - this.serversSentAt >= SERVERS_INTERVAL_MILLISECONDS;
    this.serversSentAt = isListDue ? now : this.serversSentAt;
    return {
      kind: loadMessage.MessageKind.Sums,
      edition,
      interval: this.intervalMilliseconds,
      loads: loadTable.encodeLoads(ids, sums),
      ...(isListDue ? { servers: ids } : {}),
      ...this.demandFields(now, () =>
        placement.sumDemand(
          [...this.reports.values()].flatMap(({ demand }) => demand ?? []),
          MAXIMUM_FLEET_KEYS,
        ),
      ),
      ...(placements.length === 0 ? {} : { placings: loadTable.encodePlacements(ids, placements) }),
    };
  }

  /** The fields with the demand, about once a second. */
  private demandFields(now: number, demandOf: () => placement.DemandReport): object {
    if (now - this.demandSentAt < DEMAND_INTERVAL_MILLISECONDS) {
      return {};
    }
    this.demandSentAt = now;
    const { totalMilliseconds, keys } = demandOf();
    return { demandTotal: totalMilliseconds, demand: loadTable.encodeDemand(keys) };
  }

  /** Adds the servers that the list lacks; the next message then contains the list. */
  private addServers(serverIds: readonly string[]): void {
    const known = new Set(this.servers.ids);
    const ids = [...new Set(serverIds)].filter((serverId) => !known.has(serverId));
    if (ids.length > 0) {
      const kept = this.servers.ids.length < MAXIMUM_SERVERS ? this.servers.ids : [];
      this.servers = { edition: this.servers.edition + 1, ids: [...kept, ...ids] };
      this.serversSentAt = Number.NEGATIVE_INFINITY;
    }
  }

  /** Reports the load of this daemon; a new leader has no reports yet, so that an unchanged load is reported again. */
  private reportOwn(term: number): void {
    const { streams } = this.own;
    this.reports.clear();
    this.ledTerm = undefined;
    if (this.reportedTerm !== term) {
      this.reportedTerm = term;
      this.lastSentLoads = NO_LOADS;
      streams?.repeat();
    }
    const loads = this.own.loads();
    const text = JSON.stringify(loads);
    const placements = this.ports.placementBuffer.drain();
    const begun = streams?.unsent() ?? [];
    if (text !== this.lastSentLoads || placements.length > 0 || begun.length > 0) {
      const payload = {
        ...loadMessage.encodeOwn(loads, placements, begun),
        ...this.demandFields(this.ports.time.monotonic(), () => this.own.demand(MAXIMUM_OWN_KEYS)),
      };
      if (this.ports.plane.sendToLeader(control.PeerTopic.Load, payload)) {
        this.lastSentLoads = text;
        streams?.markSent(begun);
      }
    }
  }

  private sums(): ReadonlyMap<string, loadTable.InFlightLoad> {
    const now = this.ports.time.monotonic();
    const sums = new Map<string, loadTable.InFlightLoad>();
    this.reports.forEach(({ at, loads }, daemonId) => {
      if (now - at > REPORT_EXPIRY_MILLISECONDS) {
        this.reports.delete(daemonId);
        return;
      }
      loads.forEach((load) => sums.set(load.serverId, add(sums.get(load.serverId), load)));
    });
    return sums;
  }

  private receive(payload: unknown, from: string): void {
    const parsed = loadMessage.messageSchema.safeParse(payload);
    if (!parsed.success) {
      logger.warning('load message of a peer is malformed; it is ignored');
    } else if (parsed.data.kind === loadMessage.MessageKind.Sums) {
      this.receiveSums(parsed.data);
    } else if (this.ports.plane.leadership().role === control.ReplicaRole.Leader) {
      const { loads, placings = [], begun = [] } = parsed.data;
      this.onBegunStreams(begun);
      placings
        .map(loadMessage.decodePlacement)
        .forEach((placed) => this.ports.placementBuffer.add(placed));
      this.reports.set(from, {
        at: this.ports.time.monotonic(),
        loads: loads.map(loadMessage.decodeLoad),
        demand: loadMessage.decodeDemand(parsed.data) ?? this.reports.get(from)?.demand,
      });
    }
  }

  /** Without the list that belongs to the table, the daemon waits for a later message that contains it. */
  private receiveSums(message: loadMessage.SumsMessage): void {
    const { edition, servers, interval, loads, placings } = message;
    this.intervalMilliseconds = interval;
    if (servers !== undefined) {
      this.servers = { edition, ids: servers };
    }
    if (edition !== this.servers.edition) {
      return;
    }
    const { ids } = this.servers;
    const decodedLoads = loadTable.decodeLoads(ids, loads);
    const placements = placings === undefined ? [] : loadTable.decodePlacements(ids, placings);
    if (decodedLoads === undefined || placements === undefined) {
      logger.warning('table of loads does not fit the list of servers; it is ignored');
      return;
    }
    this.onSums({
      loads: decodedLoads,
      placements,
      demand: loadMessage.decodeDemand(message),
      ageMilliseconds: interval + TRANSIT_MILLISECONDS,
    });
  }
}

/** The last report of one daemon. */
interface Report {
  readonly at: number;
  readonly loads: readonly loadTable.InFlightLoad[];
  readonly demand?: placement.DemandReport;
}

const logger = new logging.Logger('load');

function add(
  sum: loadTable.InFlightLoad | undefined,
  load: loadTable.InFlightLoad,
): loadTable.InFlightLoad {
  return sum === undefined
    ? load
    : {
        serverId: load.serverId,
        requests: sum.requests + load.requests,
        prefillTokens: sum.prefillTokens + load.prefillTokens,
        memoryTokens: sum.memoryTokens + load.memoryTokens,
      };
}

function intervalFor(daemons: number): number {
  return Math.max(SHORTEST_INTERVAL_MILLISECONDS, daemons * MILLISECONDS_PER_DAEMON);
}

/** About the time in which an engine prefills two long prompts. */
const SHORTEST_INTERVAL_MILLISECONDS = 200;

/** The leader receives and sends at most 400 messages a second each. */
const MILLISECONDS_PER_DAEMON = 2.5;

/** Two one-way delays between regions. */
const TRANSIT_MILLISECONDS = 20;

/** A daemon that has just connected gets the list of servers within this time. */
const SERVERS_INTERVAL_MILLISECONDS = 2_000;

const DEMAND_INTERVAL_MILLISECONDS = 1_000;

/** A daemon of a large fleet sees about as many prefixes within a half-life of their demand. */
const MAXIMUM_OWN_KEYS = 24;

/** A prefix beyond these has less than a fiftieth of the demand and so needs few homes. */
const MAXIMUM_FLEET_KEYS = 48;

/** A new list starts when servers have been replaced many times. */
const MAXIMUM_SERVERS = 4_096;

/** A daemon with requests in flight reports several times a second; after this time without a report it has stopped. */
const REPORT_EXPIRY_MILLISECONDS = 5_000;

/** The other daemons detect a new leader at once and report to it within one interval. */
const FIRST_SUMS_DELAY_INTERVALS = 2;

const NO_LOADS = '[]';
