import * as immutable from 'immutable';
import * as clock from '../clock';
import type * as registers from './register';

type Weights = immutable.Map<string, registers.DesiredWeights>;

interface KnownNaming {
  /** Monotonic time since when it has been known. */
  readonly since: number;
  readonly namedAt: number;
}

/**
 * How long namings of weights have been known, to this daemon and to those that it learned of them from. That
 * is never more than their age, whatever the clocks of the VMs show: only time that passed on a monotonic clock
 * counts. The date of a naming is that of the leader's clock, which may be ahead.
 */
export class DesiredVersionTimes {
  private known = new Map<string, KnownNaming>();

  constructor(private readonly time: clock.Clock) {}

  /** Takes over namings; those that are dated later than they were known get the earlier date. */
  merge(weights: Weights): Weights {
    const before = this.known;
    this.known = new Map();
    return mapNamings(weights, (model, naming) => {
      const key = keyOf(model, naming.version);
      const learned = this.date(naming, before.get(key));
      this.known.set(key, learned);
      return { version: naming.version, namedAt: learned.namedAt };
    });
  }

  /** The namings with how long they have been known, for a message to another daemon. */
  withKnownTimes(weights: Weights): Weights {
    const now = this.time.monotonic();
    return mapNamings(weights, (model, naming) => {
      const { since = now } = this.known.get(keyOf(model, naming.version)) ?? {};
      return { ...naming, knownMilliseconds: now - since };
    });
  }

  private date(
    { namedAt, knownMilliseconds = 0 }: registers.DesiredVersion,
    before: KnownNaming | undefined,
  ): KnownNaming {
    const now = this.time.monotonic();
    const since = Math.min(before?.since ?? Infinity, now - knownMilliseconds);
    const knownFrom = this.time.now() - (now - since);
    return { since, namedAt: Math.min(before?.namedAt ?? Infinity, namedAt, knownFrom) };
  }
}

function mapNamings(
  weights: Weights,
  change: (model: string, naming: registers.DesiredVersion) => registers.DesiredVersion,
): Weights {
  return weights.map(({ earlier, ...named }, model) => ({
    ...change(model, named),
    ...(earlier === undefined ? {} : { earlier: earlier.map((naming) => change(model, naming)) }),
  }));
}

function keyOf(model: string, version: number): string {
  return `${model}/${version}`;
}
