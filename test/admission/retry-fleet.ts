import * as admission from '../../src/admission';
import * as clock from '../../src/clock';
import * as daemonCount from '../../src/control/daemon-count';

/** One daemon: its budget and what it has heard of the number of daemons. */
interface FleetDaemon {
  count: daemonCount.DaemonCount;
  budget: admission.RetryBudget;
  heard: number | undefined;
  isCutOff: boolean;
}

export interface FleetOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly limits: admission.RetryLimits;
}

/**
 * Daemons that retry whenever their budget allows it, while daemons join, restart and are cut off. Two replicas report in
 * turn how many daemons they know. Counts all retries and all requests of the service.
 */
export class RetryFleet {
  readonly time = new clock.ManualClock();

  readonly retriedAt: number[] = [];

  readonly requestedAt: number[] = [];

  private readonly random: clock.RandomSource;

  private readonly daemons: FleetDaemon[] = [];

  constructor(private readonly options: FleetOptions) {
    this.random = new clock.SeededRandomSource(options.seed);
    this.daemons = Array.from({ length: options.daemons }, () => this.startDaemon(true));
  }

  get size(): number {
    return this.daemons.length;
  }

  /** Runs for some time; each daemon gets requests at a rate of its own and tries many more retries. */
  run(milliseconds: number, requestsPerSecond: number): void {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
      this.time.advance(STEP_MILLISECONDS);
      if (this.time.monotonic() % REPORT_MILLISECONDS === 0) {
        this.report();
      }
      this.daemons.forEach((daemon, index) => this.step(daemon, index, requestsPerSecond));
    }
  }

  /** Adds daemons; the others hear of them with the next reports. */
  join(count: number): void {
    this.daemons.push(...Array.from({ length: count }, () => this.startDaemon(false)));
  }

  /** Restarts a fraction of the daemons at the same moment. */
  restart(fraction: number): void {
    this.daemons.forEach((_, index) => {
      if (this.random.uniform() < fraction) {
        this.daemons[index] = this.startDaemon(false);
      }
    });
  }

  /** Cuts each daemon off with this probability; the others are connected again. */
  cut(fraction: number): void {
    this.daemons.forEach((entry) => {
      const daemon = entry;
      daemon.isCutOff = this.random.uniform() < fraction;
    });
  }

  /** The largest excess of retries over the limit in any window, with the requests as the platform counts them. */
  largestExcess(): number {
    const { ratio, slack, windowMilliseconds } = this.options.limits;
    const countIn = (times: readonly number[], from: number) =>
      times.filter((at) => at > from && at <= from + windowMilliseconds).length;
    const ends = [...new Set(this.retriedAt)];
    return Math.max(
      ...ends.map((end) => {
        const from = end - windowMilliseconds;
        const requests = Math.max(
          ...[0, windowMilliseconds / 2, windowMilliseconds].map((before) =>
            countIn(this.requestedAt, from - before),
          ),
        );
        return countIn(this.retriedAt, from) - (ratio * requests + slack);
      }),
    );
  }

  private startDaemon(isFirstStart: boolean): FleetDaemon {
    const { limits } = this.options;
    const now = this.time.monotonic();
    const slackFrom = isFirstStart ? undefined : now + limits.windowMilliseconds;
    return {
      count: new daemonCount.DaemonCount(this.time),
      budget: admission.newRetryBudget(limits, undefined, slackFrom),
      heard: undefined,
      isCutOff: false,
    };
  }

  /** Of two replicas, one knows every daemon that runs and the other only those that it can reach. */
  private report(): void {
    const reachable = this.daemons.filter(({ isCutOff }) => !isCutOff).length;
    const isFirst = (this.time.monotonic() / REPORT_MILLISECONDS) % 2 === 0;
    const [address, daemons] = isFirst ? ['a', this.daemons.length] : ['b', reachable];
    this.daemons
      .filter(({ isCutOff }) => !isCutOff && daemons > 0)
      .forEach((entry) => {
        const daemon = entry;
        daemon.count.record(address, daemons);
        daemon.count.subscribe((heard) => {
          daemon.heard = heard;
        })();
      });
  }

  private step(entry: FleetDaemon, index: number, requestsPerSecond: number): void {
    const daemon = entry;
    const at = this.time.monotonic();
    const rate = requestsPerSecond * ((index % 3) + 0.5) * (STEP_MILLISECONDS / 1_000);
    if (this.random.uniform() < rate) {
      this.requestedAt.push(at);
      daemon.budget = admission.countRequest(daemon.budget, at);
    }
    daemon.budget = { ...daemon.budget, daemons: daemon.heard };
    while (admission.retriesLeft(daemon.budget, at) >= 1) {
      this.retriedAt.push(at);
      daemon.budget = admission.countRetry(daemon.budget, at);
    }
  }
}

const STEP_MILLISECONDS = 100;

const REPORT_MILLISECONDS = 1_000;
