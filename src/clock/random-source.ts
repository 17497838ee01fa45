/** Source of random numbers: `SystemRandomSource` in the daemon, `SeededRandomSource` elsewhere. */
export abstract class RandomSource {
  /** A uniform number from 0 (included) to 1 (excluded). */
  abstract uniform(): number;

  /** A uniform integer from `low` (included) to `high` (excluded). */
  integer(low: number, high: number): number {
    return low + Math.floor(this.uniform() * (high - low));
  }
}
