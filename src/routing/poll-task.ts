import * as backend from '../backend';
import * as clock from '../clock';
import * as decision from '../decision';
import type * as backendPool from './backend-pool';
import type * as decisionTask from './decision-task';
import type * as serverObserver from './server-observer';

/** Position in the cache event stream of one incarnation. */
interface CachePosition {
  readonly incarnation: string;
  readonly after: number;
}

/** Dependencies of the poll task. */
export interface PollPorts {
  readonly pool: backendPool.BackendPool;
  readonly task: decisionTask.DecisionTask;
  readonly observer: serverObserver.ServerObserver;
  readonly time: clock.Clock;
  readonly random: clock.RandomSource;
}

/**
 * Polls the load reports of all servers and the cache events of engines, and feeds them to the decision core.
 * The interval between two polls of a server is random, so that the daemons do not poll at the same time.
 */
export class PollTask {
  private readonly positions = new Map<string, CachePosition>();

  private readonly polling = new Set<string>();

  private readonly timers = new Set<clock.Timer>();

  private isClosed = false;

  constructor(private readonly ports: PollPorts) {}

  start(): void {
    this.schedule(SCAN_MILLISECONDS, () => {
      this.scan();
      this.start();
    });
  }

  close(): void {
    this.isClosed = true;
    this.timers.forEach((timer) => timer.cancel());
  }

  private scan(): void {
    const ids = this.ports.pool.serverIds();
    ids
      .filter((serverId) => !this.polling.has(serverId))
      .forEach((serverId) => {
        this.polling.add(serverId);
        this.poll(serverId);
      });
  }

  private async poll(serverId: string): Promise<void> {
    const lease = this.ports.pool.server(serverId);
    if (lease === undefined || lease.client instanceof backend.RelayServer) {
      lease?.release();
      this.polling.delete(serverId);
      this.positions.delete(serverId);
      return;
    }
    const { client } = lease;
    try {
      await Promise.all([
        this.pollLoad(serverId, client),
        client instanceof backend.ModelEngine && this.pollCache(serverId, client),
      ]);
    } finally {
      lease.release();
    }
    const interval = Math.max(
      MINIMUM_INTERVAL_MILLISECONDS,
      this.polling.size * INTERVAL_PER_SERVER_MILLISECONDS,
    );
    this.schedule(interval * (0.5 + this.ports.random.uniform()), () => this.poll(serverId));
  }

  private async pollLoad(
    serverId: string,
    client: backend.ModelEngine | backend.PlainService,
  ): Promise<void> {
    const load = await client.load();
    if (load.err || this.isClosed) {
      return;
    }
    this.ports.observer.incarnationObserved(serverId, load.val.incarnation);
    const { task } = this.ports;
    task.feed({
      kind: decision.DecisionEventKind.LoadReported,
      at: task.now(),
      serverId,
      ...load.val,
    });
  }

  /** Feeds evictions only, which correct the core's prefix index; the index learns new entries from answers. */
  private async pollCache(serverId: string, engine: backend.ModelEngine): Promise<void> {
    const position = this.positions.get(serverId);
    const page = await engine.cacheEvents(position?.after ?? 0);
    if (page.err || this.isClosed) {
      return;
    }
    const { incarnation, events, nextSequence } = page.val;
    const isRestarted = position !== undefined && position.incarnation !== incarnation;
    this.positions.set(serverId, { incarnation, after: isRestarted ? 0 : nextSequence });
    if (isRestarted) {
      this.ports.observer.incarnationObserved(serverId, incarnation);
      return;
    }
    const { task } = this.ports;
    events
      .filter((event) => event.kind === backend.CacheEventKind.Evicted)
      .forEach(({ chainHash }) =>
        task.feed({
          kind: decision.DecisionEventKind.CacheEvicted,
          at: task.now(),
          serverId,
          incarnation,
          chainHash,
        }),
      );
  }

  private schedule(milliseconds: number, action: () => void): void {
    if (this.isClosed) {
      return;
    }
    const timer = this.ports.time.setTimer(milliseconds, () => {
      this.timers.delete(timer);
      action();
    });
    this.timers.add(timer);
  }
}

const SCAN_MILLISECONDS = 250;

const MINIMUM_INTERVAL_MILLISECONDS = 500;

// Limits one daemon to 40 polls per second for any number of servers.
const INTERVAL_PER_SERVER_MILLISECONDS = 25;
