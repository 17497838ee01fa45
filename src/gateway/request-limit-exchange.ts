import * as zod from 'zod';
import * as control from '../control';
import * as logging from '../logging';
import * as stateExchange from './state-exchange';

/** What the last answer of a server said about its limit. */
interface Observation {
  /** Requests a second that the server takes from all daemons together; absent if it named no limit. */
  readonly perSecond?: number;
  /** Monotonic time in milliseconds of the answer. */
  readonly at: number;
}

/** Called when the limit of a server changes; it has none if `perSecond` is absent. */
export type LimitListener = (serverId: string, perSecond: number | undefined) => void;

/**
 * The request limits that servers name in their answers. Load pattern: a server in need names a limit, and hundreds of
 * daemons would each send it a request before they have all heard so themselves; a daemon with a small share would hear only
 * minutes later that the limit has ended. The newest answer to any daemon counts for all.
 */
export class RequestLimitExchange extends stateExchange.StateExchange {
  /** The newest answer of each server that has ever named a limit. */
  private readonly known = new Map<string, Observation>();

  /** Servers about which this daemon has told something new, and when it did. */
  private readonly toldAt = new Map<string, number>();

  constructor(
    ports: stateExchange.StateExchangePorts,
    private readonly onChange: LimitListener,
  ) {
    super(ports, control.PeerTopic.RequestLimits);
  }

  /** Records what an answer says about the limit of its server. */
  observe(serverId: string, perSecond: number | undefined): void {
    const known = this.known.get(serverId);
    if (known === undefined && perSecond === undefined) {
      return;
    }
    const at = this.ports.time.monotonic();
    this.record(serverId, { perSecond, at });
    if (known?.perSecond !== perSecond || known === undefined) {
      this.tell(serverId, at);
    }
  }

  protected override receive(payload: unknown): void {
    const parsed = messageSchema.safeParse(payload);
    if (!parsed.success) {
      logger.warning('message about request limits is malformed; it is ignored');
      return;
    }
    const now = this.ports.time.monotonic();
    parsed.data.limits.forEach(([serverId, limit, age]) => {
      const reported = { perSecond: limit ?? undefined, at: now - age };
      const known = this.known.get(serverId);
      const isDifferent = known?.perSecond !== reported.perSecond;
      const isNewer = known === undefined || reported.at > known.at;
      if (isNewer) {
        this.record(serverId, reported);
      }
      // The leader tells the others what is new; any other daemon only that it knows of a newer answer.
      if (isDifferent && (this.isLeader || !isNewer)) {
        this.tell(serverId, now);
      }
    });
  }

  protected override ownMessage(now: number): object | undefined {
    return this.message(now, (_, serverId) => this.toldAt.has(serverId));
  }

  protected override leaderMessage(now: number): object | undefined {
    return this.message(
      now,
      ({ perSecond }, serverId) => perSecond !== undefined || this.toldAt.has(serverId),
    );
  }

  /** The limits that `isTold` selects, with the ages of the answers; `undefined` if there are none. */
  private message(
    now: number,
    isTold: (observation: Observation, serverId: string) => boolean,
  ): object | undefined {
    this.toldAt.forEach((at, serverId) => {
      if (now - at > stateExchange.RECENT_MILLISECONDS) {
        this.toldAt.delete(serverId);
      }
    });
    const limits = [...this.known]
      .filter(([serverId, observation]) => isTold(observation, serverId))
      .slice(-MAXIMUM_SERVERS)
      .map(([serverId, { perSecond, at }]) => [
        serverId,
        perSecond ?? null,
        Math.max(0, Math.round(now - at)),
      ]);
    return limits.length === 0 ? undefined : { limits };
  }

  private tell(serverId: string, now: number): void {
    this.toldAt.set(serverId, now);
    this.stateChanged();
  }

  private record(serverId: string, observation: Observation): void {
    const previous = this.known.get(serverId);
    // Keeps the servers in order of their newest answers.
    this.known.delete(serverId);
    this.known.set(serverId, observation);
    if (this.known.size > MAXIMUM_SERVERS) {
      this.forgetOldest();
    }
    if (previous?.perSecond !== observation.perSecond) {
      logger.information('request limit of a server changed', {
        backendServer: serverId,
        requestsPerSecond: observation.perSecond ?? 'none',
      });
      this.onChange(serverId, observation.perSecond);
    }
  }

  private forgetOldest(): void {
    const [[serverId, { perSecond }]] = this.known;
    this.known.delete(serverId);
    if (perSecond !== undefined) {
      this.onChange(serverId, undefined);
    }
  }
}

const logger = new logging.Logger('request-limits');

/** Far more servers than name limits at a time; most of them no longer exist. */
const MAXIMUM_SERVERS = 512;

const messageSchema = zod.object({
  /** Server, requests a second or null, age of the answer in milliseconds: daemons have no common clock. */
  limits: zod
    .array(
      zod.tuple([
        zod.string().min(1).max(256),
        zod.number().min(0).nullable(),
        zod.number().min(0),
      ]),
    )
    .max(MAXIMUM_SERVERS),
});
