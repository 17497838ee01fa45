import * as immutable from 'immutable';
import * as clock from '../clock';
import type * as registers from './register';

type Weights = immutable.Map<string, registers.DesiredWeights>;

interface KnownVersion {
  /** Monotonic time at which the version was first known. */
  readonly since: number;
  readonly namedAt: number;
}

/**
 * How long desired weights versions have been known, to this daemon and to those that sent them to it. This
 * is never longer than their age, whatever the clocks of the VMs show, since it counts only time that passed
 * on a monotonic clock. `namedAt` is a time of the leader's clock, which may be ahead.
 */
export class DesiredVersionTimes {
  private knownVersions = new Map<string, KnownVersion>();

  constructor(private readonly time: clock.Clock) {}

  /** Records the versions. Those that are dated later than they were first known get the earlier date. */
  merge(weights: Weights): Weights {
    const before = this.knownVersions;
    this.knownVersions = new Map();
    return mapVersions(weights, (model, desired) => {
      const key = keyOf(model, desired.version);
      const dated = this.dateOf(desired, before.get(key));
      this.knownVersions.set(key, dated);
      return { version: desired.version, namedAt: dated.namedAt };
    });
  }

  /** The versions with the time for which they have been known, for a message to another daemon. */
  withKnownTimes(weights: Weights): Weights {
    const now = this.time.monotonic();
    return mapVersions(weights, (model, desired) => {
      const { since = now } = this.knownVersions.get(keyOf(model, desired.version)) ?? {};
      return { ...desired, knownMilliseconds: now - since };
    });
  }

  private dateOf(
    { namedAt, knownMilliseconds = 0 }: registers.DesiredVersion,
    before: KnownVersion | undefined,
  ): KnownVersion {
    const now = this.time.monotonic();
    const since = Math.min(before?.since ?? Infinity, now - knownMilliseconds);
    const knownSince = this.time.now() - (now - since);
    return { since, namedAt: Math.min(before?.namedAt ?? Infinity, namedAt, knownSince) };
  }
}

function mapVersions(
  weights: Weights,
  change: (model: string, desired: registers.DesiredVersion) => registers.DesiredVersion,
): Weights {
  return weights.map(({ earlier, ...current }, model) => ({
    ...change(model, current),
    ...(earlier === undefined ? {} : { earlier: earlier.map((desired) => change(model, desired)) }),
  }));
}

function keyOf(model: string, version: number): string {
  return `${model}/${version}`;
}
