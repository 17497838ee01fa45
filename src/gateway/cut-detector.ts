import * as clock from '../clock';
import * as logging from '../logging';
import type * as membership from '../membership';

/** Dependencies of the detector. */
export interface CutDetectorPorts {
  readonly time: clock.Clock;
  readonly random: clock.RandomSource;
  /** Servers of all services that may get requests. */
  readonly servers: () => readonly membership.EligibleServer[];
  /** Whether a server answers a probe on a new connection. */
  readonly probe: (serverId: string) => Promise<boolean>;
  /** Called when the judgement changes. */
  readonly onChange: (isCutOff: boolean) => void;
}

/**
 * Tells a daemon that has lost its links to the backend servers from servers that are down. When a server fails, a few others
 * in several availability zones are probed at once on new connections: open ones may live on while new ones are refused. If
 * none of them answers, this daemon is cut off, until a probe succeeds again.
 */
export class CutDetector {
  private isCut = false;

  private isChecking = false;

  private isClosed = false;

  /** Monotonic time in milliseconds before which no check starts. */
  private nextCheckAt = Number.NEGATIVE_INFINITY;

  private timer: clock.Timer | undefined;

  constructor(private readonly ports: CutDetectorPorts) {}

  get isCutOff(): boolean {
    return this.isCut;
  }

  /** A connection to a server failed, broke or is silent. */
  suspect(serverId: string): void {
    const now = this.ports.time.monotonic();
    if (!this.isCut && !this.isChecking && !this.isClosed && now >= this.nextCheckAt) {
      this.check(serverId);
    }
  }

  close(): void {
    this.isClosed = true;
    this.timer?.cancel();
  }

  private async check(suspectedId: string): Promise<void> {
    const witnesses = this.chooseWitnesses(suspectedId);
    if (witnesses.length < MINIMUM_WITNESSES) {
      return;
    }
    this.isChecking = true;
    const startedAt = this.ports.time.monotonic();
    const answers = await Promise.all(witnesses.map(({ id }) => this.ports.probe(id)));
    this.isChecking = false;
    const now = this.ports.time.monotonic();
    const isAnswered = answers.includes(true);
    // A daemon that could not run for a while has not read the answers in time.
    const isConclusive = now - startedAt <= CONCLUSIVE_MILLISECONDS;
    this.nextCheckAt = now + (isAnswered ? CHECK_INTERVAL_MILLISECONDS : 0);
    if (isAnswered || this.isClosed) {
      return;
    }
    if (isConclusive) {
      logger.warning('no backend server can be reached; requests go to other gateways', {
        suspected: suspectedId,
        probed: witnesses.map(({ id }) => id).join(','),
        milliseconds: Math.round(now - startedAt),
      });
      this.change(true);
      this.watch();
    } else {
      this.check(suspectedId);
    }
  }

  /** Servers of as many availability zones as possible, those first that are not suspected themselves. */
  private chooseWitnesses(suspectedId: string): readonly membership.EligibleServer[] {
    const { random } = this.ports;
    const others = this.ports
      .servers()
      .filter(({ id }) => id !== suspectedId)
      .map((server) => ({ server, order: random.uniform() + (server.suspected ? 1 : 0) }))
      .sort((left, right) => left.order - right.order)
      .map(({ server }) => server);
    const zones = new Set<string>();
    const firstOfZone = others.filter(({ zone }) => !zones.has(zone) && zones.add(zone));
    const rest = others.filter((server) => !firstOfZone.includes(server));
    return [...firstOfZone, ...rest].slice(0, MAXIMUM_WITNESSES);
  }

  /** Probes one server after the other until one answers. */
  private watch(): void {
    this.timer = this.ports.time.setTimer(WATCH_INTERVAL_MILLISECONDS, async () => {
      const servers = this.ports.servers();
      const server = servers.at(this.ports.random.integer(0, Math.max(1, servers.length)));
      const isAnswered = server !== undefined && (await this.ports.probe(server.id));
      if (this.isClosed) {
        return;
      }
      if (isAnswered) {
        logger.warning('backend servers can be reached again', { answered: server.id });
        this.change(false);
      } else {
        this.watch();
      }
    });
  }

  private change(isCut: boolean): void {
    this.isCut = isCut;
    this.ports.onChange(isCut);
  }
}

const logger = new logging.Logger('gateway');

/** With fewer servers beside the suspected one, their failure says too little. */
const MINIMUM_WITNESSES = 2;

const MAXIMUM_WITNESSES = 4;

/** The longest probe takes 800 ms; a later end means that this process stood still. */
const CONCLUSIVE_MILLISECONDS = 1_200;

/** Limits the probes while servers fail one after the other. */
const CHECK_INTERVAL_MILLISECONDS = 500;

const WATCH_INTERVAL_MILLISECONDS = 200;
