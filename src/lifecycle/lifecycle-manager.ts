import * as clock from '../clock';

/** A function that releases one resource. */
export type CloseFunction = () => void | Promise<void>;

/** What became of one resource when its manager closed. */
export interface CloseReport {
  readonly name: string;
  readonly outcome: CloseOutcome;
  readonly error?: Error;
}

export enum CloseOutcome {
  Closed = 'closed',
  Failed = 'failed',
  TimedOut = 'timed-out',
}

/**
 * Owns resources and closes them in reverse order of registration, so that a resource is closed before
 * what it depends on. One resource that fails or hangs does not keep the others open.
 */
export class LifecycleManager {
  private readonly resources: {
    name: string;
    close: CloseFunction;
    deadlineMilliseconds: number;
  }[] = [];

  private closing: Promise<readonly CloseReport[]> | undefined;

  constructor(private readonly time: clock.Clock) {}

  /** True once `close` has been called. */
  get isClosing(): boolean {
    return this.closing !== undefined;
  }

  /**
   * Registers a resource. A resource registered while the manager is closing is closed at once.
   *
   * @example
   * lifecycle.own('peer listener', () => listener.close());
   */
  register(
    name: string,
    close: CloseFunction,
    deadlineMilliseconds = DEFAULT_CLOSE_DEADLINE_MILLISECONDS,
  ): void {
    if (this.isClosing) {
      this.closeOne({ name, close, deadlineMilliseconds });
      return;
    }
    this.resources.push({ name, close, deadlineMilliseconds });
  }

  /**
   * Closes everything once; later calls return the same reports. Never rejects.
   *
   * @example
   * const failed = (await lifecycle.close()).filter((report) => report.outcome !== CloseOutcome.Closed);
   */
  close(): Promise<readonly CloseReport[]> {
    this.closing ??= this.closeAll();
    return this.closing;
  }

  private async closeAll(): Promise<readonly CloseReport[]> {
    const reports: CloseReport[] = [];
    for (let next = this.resources.pop(); next !== undefined; next = this.resources.pop()) {
      // Closing in parallel would close a resource before its users.
      reports.push(await this.closeOne(next));
    }
    return reports;
  }

  private async closeOne(resource: {
    name: string;
    close: CloseFunction;
    deadlineMilliseconds: number;
  }): Promise<CloseReport> {
    const { name } = resource;
    let timer: clock.Timer | undefined;
    const timeout = new Promise<CloseReport>((resolve) => {
      timer = this.time.setTimer(resource.deadlineMilliseconds, () =>
        resolve({ name, outcome: CloseOutcome.TimedOut }),
      );
    });
    const work = (async (): Promise<CloseReport> => {
      try {
        await resource.close();
        return { name, outcome: CloseOutcome.Closed };
      } catch (error) {
        return { name, outcome: CloseOutcome.Failed, error: error as Error };
      }
    })();
    const report = await Promise.race([work, timeout]);
    timer?.cancel();
    return report;
  }
}

const DEFAULT_CLOSE_DEADLINE_MILLISECONDS = 5_000;
