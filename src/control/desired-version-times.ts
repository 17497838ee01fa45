import * as immutable from 'immutable';
import * as clock from '../clock';
import type * as registers from './register';

type Weights = immutable.Map<string, registers.DesiredWeights>;

interface ReceivedVersion {
  /** Monotonic time in milliseconds at which this daemon, or one that sent it the version, first received it. */
  readonly firstReceivedAt: number;
  /** Wall-clock time of this daemon in milliseconds. */
  readonly namedAt: number;
}

/**
 * The time since each desired weights version was first received, by this daemon or by those that sent it to
 * this one. It is never longer than the age of the version, whatever the clocks of the VMs show, since it counts
 * only time that passed on a monotonic clock. `namedAt` is a time of the leader's clock, which may be ahead.
 */
export class DesiredVersionTimes {
  private receivedVersions = new Map<string, ReceivedVersion>();

  constructor(private readonly time: clock.Clock) {}

  /**
   * Records the versions, and translates the times of new ones to this daemon's clock, which is `clockOffset`
   * milliseconds ahead of the sender's. A time later than the first receipt is replaced by that of the receipt.
   */
  merge(weights: Weights, clockOffset = 0): Weights {
    const before = this.receivedVersions;
    this.receivedVersions = new Map();
    return mapVersions(weights, (model, desired) => {
      const key = keyOf(model, desired.version);
      const corrected = this.correctTime(desired, before.get(key), clockOffset);
      this.receivedVersions.set(key, corrected);
      return { version: desired.version, namedAt: corrected.namedAt };
    });
  }

  /** The versions with the time since they were first received, for a message to another daemon. */
  withKnownTimes(weights: Weights): Weights {
    const now = this.time.monotonic();
    return mapVersions(weights, (model, desired) => {
      const { firstReceivedAt = now } =
        this.receivedVersions.get(keyOf(model, desired.version)) ?? {};
      return { ...desired, knownMilliseconds: now - firstReceivedAt };
    });
  }

  private correctTime(
    { namedAt, knownMilliseconds = 0 }: registers.DesiredVersion,
    before: ReceivedVersion | undefined,
    clockOffset: number,
  ): ReceivedVersion {
    const now = this.time.monotonic();
    const firstReceivedAt = Math.min(before?.firstReceivedAt ?? Infinity, now - knownMilliseconds);
    const firstReceivedWallClock = this.time.now() - (now - firstReceivedAt);
    return {
      firstReceivedAt,
      namedAt: Math.min(before?.namedAt ?? namedAt + clockOffset, firstReceivedWallClock),
    };
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
