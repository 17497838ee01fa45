import * as clock from '../clock';

/** Called with the number of daemons. */
export type CountListener = (daemons: number) => void;

interface Report {
  readonly daemons: number;
  readonly at: number;
}

/**
 * The number of daemons of the deployment: the largest that a daemon with a replica has reported lately. A smaller one
 * comes from a replica that has started just now or has lost some daemons.
 */
export class DaemonCount {
  private readonly reports = new Map<string, Report>();

  private readonly listeners = new Set<CountListener>();

  private current: number | undefined;

  constructor(private readonly time: clock.Clock) {}

  record(address: string, daemons: number): void {
    const at = this.time.monotonic();
    const kept = this.reports.get(address);
    if (kept === undefined || daemons >= kept.daemons || at - kept.at > RETENTION_MILLISECONDS) {
      this.reports.set(address, { daemons, at });
    }
    this.update(at);
  }

  subscribe(listener: CountListener): () => void {
    this.listeners.add(listener);
    if (this.current !== undefined) {
      listener(this.current);
    }
    return () => this.listeners.delete(listener);
  }

  /** Without a recent report, the last number stays. */
  private update(at: number): void {
    const recent = [...this.reports.values()].filter(
      (report) => at - report.at <= RETENTION_MILLISECONDS,
    );
    const daemons = Math.max(...recent.map((report) => report.daemons));
    if (daemons !== this.current) {
      this.current = daemons;
      this.listeners.forEach((listener) => listener(daemons));
    }
  }
}

/** Longer than the windows in which retries are limited and than the restart of a daemon. */
const RETENTION_MILLISECONDS = 60_000;
