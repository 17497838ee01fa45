import * as clock from '../clock';

/** A function that releases one resource. */
export type CloseFunction = () => void | Promise<void>;

/** Result of closing one resource. */
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
 * Closes registered resources in reverse order of registration, so that a resource is closed before its
 * dependencies. A resource whose closing fails or hangs does not prevent the closing of the others.
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
   * lifecycle.register('peer listener', () => listener.close());
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
      // Closing in parallel could close a resource before the resources that use it.
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
    const closed = (async (): Promise<CloseReport> => {
      try {
        await resource.close();
        return { name, outcome: CloseOutcome.Closed };
      } catch (error) {
        return { name, outcome: CloseOutcome.Failed, error: error as Error };
      }
    })();
    const report = await Promise.race([closed, timeout]);
    timer?.cancel();
    return report;
  }
}

const DEFAULT_CLOSE_DEADLINE_MILLISECONDS = 5_000;
