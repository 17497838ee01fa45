import * as clock from '../clock';
import * as logging from '../logging';
import * as wire from '../wire';
import type * as knownDaemons from './known-daemons';

/** Dependencies of the search. */
export interface RediscoveryPorts {
  readonly time: clock.Clock;
  readonly network: Pick<
    wire.PeerNetwork,
    'connect' | 'visit' | 'disconnect' | 'isConfigured' | 'isLinked' | 'unreachableAddresses'
  >;
  readonly known: knownDaemons.KnownDaemons;
  /** Upper bound of the age in milliseconds of this daemon's copy of the configuration. */
  readonly copyAge: () => number;
  /** Whether this daemon hosts a replica, or is linked to one that does. */
  readonly hasReplica: () => boolean;
  /** Addresses that must always be dialed. */
  readonly required: () => readonly string[];
  /** Control daemons in the present settings; absent if the settings do not change while the process runs. */
  readonly readSeeds?: () => Promise<readonly string[]>;
  /** What this daemon knows, for the log. */
  readonly fields: () => logging.LogFields;
}

interface Visit {
  readonly openedAt: number;
  /** When the daemon last made this one's copy younger. */
  helpedAt?: number;
}

/**
 * Finds control daemons again when all that this daemon knew may be gone, as after a suspension or a cut during which they
 * were replaced. As long as the copy of the configuration may be old, it links to a few other daemons at a time, whose
 * heartbeats name the present control daemons and whose copies it takes over meanwhile, and reads the seeds of its settings
 * again.
 *
 * A daemon that has lost all control daemons may know none that could tell it, such as one that has just started. So each
 * daemon also links to one of the others for a moment from time to time, and tells it in this way.
 */
export class Rediscovery {
  private readonly visits = new Map<string, Visit>();

  private timer: clock.Timer | undefined;

  private searchingSince: number | undefined;

  private loggedAt = Number.NEGATIVE_INFINITY;

  private nextKnown = 0;

  private lastRoutineAt = Number.NEGATIVE_INFINITY;

  private isReadingSeeds = false;

  private isClosed = false;

  /** Why the settings could not be read last time; logged once. */
  private unreadableReason: string | undefined;

  constructor(private readonly ports: RediscoveryPorts) {}

  start(): void {
    this.schedule();
  }

  close(): void {
    this.isClosed = true;
    this.timer?.cancel();
  }

  /** Records that a heartbeat from this address has made the copy younger. */
  recordHelp(address: string): void {
    const visit = this.visits.get(address);
    if (visit !== undefined) {
      visit.helpedAt = this.ports.time.monotonic();
    }
  }

  /** Dials the control daemons that the settings name now; call it also when the settings have changed. */
  async dialSeeds(): Promise<void> {
    const { network, readSeeds } = this.ports;
    if (readSeeds === undefined || this.isReadingSeeds) {
      return;
    }
    this.isReadingSeeds = true;
    try {
      const seeds = await readSeeds();
      this.unreadableReason = undefined;
      if (!this.isClosed) {
        network.connect(seeds);
      }
    } catch (error) {
      this.logUnreadable((error as Error).message);
    } finally {
      this.isReadingSeeds = false;
    }
  }

  private logUnreadable(reason: string): void {
    if (reason !== this.unreadableReason) {
      this.unreadableReason = reason;
      logger.warning('seeds could not be read from the settings; the known ones stay', { reason });
    }
  }

  /** With the heartbeats of the links, so that an idle process wakes up once for all. */
  private schedule(): void {
    const { time } = this.ports;
    const delay = INTERVAL_MILLISECONDS - (time.monotonic() % INTERVAL_MILLISECONDS);
    this.timer = time.setTimer(delay, () => {
      this.check();
      this.schedule();
    });
  }

  private check(): void {
    const isCurrent = this.ports.copyAge() < SEARCH_AGE_MILLISECONDS;
    if (isCurrent && this.ports.hasReplica()) {
      this.endSearch();
      this.forgetUnreachable();
      this.visitByRoutine();
    } else if (!isCurrent || this.searchingSince !== undefined) {
      this.search();
    }
  }

  private search(): void {
    const { time, fields } = this.ports;
    const now = time.monotonic();
    this.searchingSince ??= now;
    if (now - this.loggedAt >= LOG_INTERVAL_MILLISECONDS) {
      this.loggedAt = now;
      logger.warning('looking for control daemons at other daemons', {
        ...fields(),
        asked: [...this.visits.keys()].join(' '),
      });
    }
    this.dialSeeds();
    this.endVisits(({ openedAt, helpedAt = openedAt }) => now - helpedAt >= VISIT_MILLISECONDS);
    this.openVisits(now, MAXIMUM_VISITS - this.visits.size);
  }

  private visitByRoutine(): void {
    const now = this.ports.time.monotonic();
    this.endVisits(({ openedAt }) => now - openedAt >= ROUTINE_VISIT_MILLISECONDS);
    if (now - this.lastRoutineAt >= ROUTINE_INTERVAL_MILLISECONDS) {
      this.lastRoutineAt = now;
      this.openVisits(now, 1);
    }
  }

  private openVisits(now: number, maximum: number): void {
    const { network, known } = this.ports;
    const candidates = known.all.filter(
      (address) => !network.isConfigured(address) && !network.isLinked(address),
    );
    const count = Math.min(maximum, candidates.length);
    for (let opened = 0; opened < count; opened += 1) {
      const address = candidates[this.nextKnown % candidates.length];
      this.nextKnown += 1;
      this.visits.set(address, { openedAt: now });
      network.visit(address);
    }
  }

  private endSearch(): void {
    if (this.searchingSince === undefined) {
      return;
    }
    const milliseconds = Math.round(this.ports.time.monotonic() - this.searchingSince);
    logger.information('found control daemons', {
      ...this.ports.fields(),
      searchMilliseconds: milliseconds,
    });
    this.searchingSince = undefined;
    this.loggedAt = Number.NEGATIVE_INFINITY;
    this.endVisits(() => true);
  }

  private endVisits(isOver: (visit: Visit) => boolean): void {
    const required = this.ports.required();
    const ended = [...this.visits].filter(([, visit]) => isOver(visit)).map(([address]) => address);
    ended.forEach((address) => this.visits.delete(address));
    this.ports.network.disconnect(ended.filter((address) => !required.includes(address)));
  }

  /** Control daemons that were replaced are not dialed for ever; the present ones are known. */
  private forgetUnreachable(): void {
    const { network, required } = this.ports;
    const kept = required();
    const forgotten = network
      .unreachableAddresses(FORGET_FAILURES)
      .filter((address) => !kept.includes(address));
    if (forgotten.length > 0) {
      logger.information('addresses that are no longer control daemons are not dialed any more', {
        addresses: forgotten.join(' '),
      });
      network.disconnect(forgotten);
    }
  }
}

const logger = new logging.Logger('control');

const INTERVAL_MILLISECONDS = wire.HEARTBEAT_INTERVAL_MILLISECONDS;

/** A copy that a leader confirms is up to about 2 s old; an election takes 1 s. */
const SEARCH_AGE_MILLISECONDS = 3_000;

/** Enough for a handshake between regions, which times out after 2 s, and one heartbeat. */
const VISIT_MILLISECONDS = 4_000;

/** Bounds the links of a fleet that has no leader at all. */
const MAXIMUM_VISITS = 3;

/** A daemon that knows nobody is told within some of these intervals; a visit costs each side about 1.5 KB. */
const ROUTINE_INTERVAL_MILLISECONDS = 5_000;

/** A handshake between regions and a heartbeat of each side take a few hundred milliseconds. */
const ROUTINE_VISIT_MILLISECONDS = 2_000;

const LOG_INTERVAL_MILLISECONDS = 10_000;

/** With the longest delay between two attempts, about a minute. */
const FORGET_FAILURES = 30;
