import * as clock from '../../src/clock';
import * as replacedControl from '../platform/replaced-control';

/** When the work and the faults of a soak happen, by its seed; each kind of fault has random numbers of its own. */
export class SoakSchedule {
  /** The faults in the order in which they began. */
  readonly faults: string[] = [];

  private readonly startedAt = performance.now();

  private readonly endsAt: number;

  private sources = 0;

  constructor(
    private readonly seed: number,
    seconds: number,
  ) {
    this.endsAt = this.startedAt + seconds * 1_000;
  }

  /** Random numbers that do not depend on what other parts of the soak do. */
  randomSource(): clock.RandomSource {
    this.sources += 1;
    return new clock.SeededRandomSource(this.seed * 1_000 + 500 + this.sources);
  }

  async repeat(work: () => Promise<void>): Promise<void> {
    while (performance.now() < this.endsAt) {
      await work();
    }
  }

  /** Repeats a fault after random pauses in milliseconds; none begins after the end. */
  async repeatAfterPauses(
    random: clock.RandomSource,
    [low, high]: readonly [low: number, high: number],
    work: () => Promise<void>,
  ): Promise<void> {
    await this.repeat(async () => {
      const remaining = this.endsAt - performance.now();
      await replacedControl.pause(Math.min(random.integer(low, high), remaining));
      if (performance.now() < this.endsAt) {
        await work();
      }
    });
  }

  record(fault: string): void {
    this.faults.push(`${this.timeOf(performance.now())} ms: ${fault}`);
  }

  /** Milliseconds from the start to a monotonic time. */
  timeOf(at: number): number {
    return Math.round(at - this.startedAt);
  }
}

/** Waits for a random time in milliseconds. */
export function pauseBetween(random: clock.RandomSource, low: number, high: number): Promise<void> {
  return replacedControl.pause(random.integer(low, high));
}

/** @example pick(random, ['kill', 'restart']); // 'restart' */
export function pick<Value>(random: clock.RandomSource, values: readonly Value[]): Value {
  return values[random.integer(0, values.length)];
}
