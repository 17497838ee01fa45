import * as randomSource from './random-source';

/** Reproducible random numbers: the same seed gives the same sequence on every machine. */
export class SeededRandomSource extends randomSource.RandomSource {
  private state: number;

  constructor(seed: number) {
    super();
    this.state = Math.trunc(seed) % TWO_POW_32;
  }

  /** Increments a 32-bit counter and applies the Mulberry32 mixing function. */
  override uniform(): number {
    this.state = (this.state + INCREMENT) % TWO_POW_32;
    /* eslint-disable no-bitwise */
    let mixed = Math.imul(this.state ^ (this.state >>> 15), this.state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / TWO_POW_32;
    /* eslint-enable no-bitwise */
  }
}

const TWO_POW_32 = 2 ** 32;
const INCREMENT = 0x6d2b79f5;
