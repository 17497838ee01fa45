import * as clock from '../clock';
import type * as control from '../control';

interface LearnedVersion extends control.DesiredVersion {
  /** Monotonic time in milliseconds at which this daemon learned of the version. */
  readonly learnedAt: number;
  /** Wall-clock time in milliseconds at which this daemon learned of the version. */
  readonly learnedAtWallClock: number;
}

/** Ages of a weights version, for logs. */
export interface VersionAges {
  /** Time since the version was set. */
  readonly ageMilliseconds: number;
  /** Time from the setting of the version until this daemon learned of it. */
  readonly ageWhenLearnedMilliseconds: number;
}

/** A desired version and the time since this daemon learned of it; the version was set at least as long ago. */
export interface DesiredVersionAge {
  readonly weightsVersion: string;
  readonly ageMilliseconds: number;
}

/** Weights versions of one model. */
interface ModelVersions {
  /** The oldest version that gets requests; absent while every version does. */
  readonly minimum?: LearnedVersion;
  /** Later versions whose grace time has not ended, the newest last. */
  readonly waiting: readonly LearnedVersion[];
}

/**
 * Load pattern: an engine that was unreachable during a roll-out returns with old weights and looks idle, so that it
 * attracts new requests before the leader can order it; and with a new version every few seconds some engines always
 * lag behind. Once the grace time of a version has ended, engines without it get no requests, even if a newer version
 * was set meanwhile.
 *
 * The age of a version is computed whenever it is needed. A timer would fire late after a suspension of the VM.
 */
export class WeightsAge {
  private readonly models = new Map<string, ModelVersions>();

  /** @param graceMilliseconds age of a version from which requests must not begin on an older one */
  constructor(
    private readonly time: clock.Clock,
    readonly graceMilliseconds: number,
  ) {}

  /** The oldest version of a model that still gets requests; absent while every version does. */
  minimumVersion(model: string, desired: control.DesiredWeights | undefined): string | undefined {
    const previous = this.models.get(model) ?? { waiting: [] };
    const versions = [...previous.waiting, ...this.newVersions(previous, desired)];
    const minimum =
      versions.filter((version) => this.isOldEnough(version)).at(-1) ?? previous.minimum;
    const waiting = versions.filter(({ version }) => version > (minimum?.version ?? -Infinity));
    this.models.set(model, { minimum, waiting });
    return minimum?.version.toString();
  }

  /** Whether `minimumVersion` would return another version for some model than in its last call. */
  isChangeDue(): boolean {
    return [...this.models.values()].some(({ waiting }) =>
      waiting.some((version) => this.isOldEnough(version)),
    );
  }

  /**
   * Milliseconds since the first version after the given one was set, as far as this daemon knows; absent for the
   * newest version. For a version that gets no requests any more it is a lower bound.
   */
  supersededMilliseconds(model: string, version: string): number | undefined {
    const newer = this.versions(model).find((other) => other.version > Number(version));
    return newer && Math.round(this.age(newer));
  }

  /** Ages of a version that gets requests; absent for an unknown version. */
  agesOf(model: string, version: string): VersionAges | undefined {
    const found = this.versions(model).find((other) => other.version === Number(version));
    return (
      found && {
        ageMilliseconds: Math.round(this.age(found)),
        ageWhenLearnedMilliseconds: Math.round(ageWhenLearned(found)),
      }
    );
  }

  /**
   * Desired versions of a model from the oldest one that gets requests on, oldest first. Their ages decide which
   * engines are ordered to load. They ignore the wall clock, because an age that is too large, as after a step of that
   * clock, would take all engines of a service out of service at once.
   */
  desiredVersions(model: string): readonly DesiredVersionAge[] {
    return this.versions(model).map((version) => ({
      weightsVersion: version.version.toString(),
      ageMilliseconds: this.time.monotonic() - version.learnedAt,
    }));
  }

  private versions(model: string): readonly LearnedVersion[] {
    const { minimum, waiting = [] } = this.models.get(model) ?? {};
    return minimum === undefined ? waiting : [minimum, ...waiting];
  }

  private newVersions(
    { minimum, waiting }: ModelVersions,
    desired: control.DesiredWeights | undefined,
  ): readonly LearnedVersion[] {
    const newest = waiting.at(-1) ?? minimum;
    const learnedAt = this.time.monotonic();
    const learnedAtWallClock = this.time.now();
    const desiredVersions = desired === undefined ? [] : [...(desired.earlier ?? []), desired];
    return desiredVersions
      .filter(({ version }) => version > (newest?.version ?? -Infinity))
      .map(({ version, namedAt }) => ({ version, namedAt, learnedAt, learnedAtWallClock }));
  }

  private isOldEnough(version: LearnedVersion): boolean {
    return this.age(version) >= this.graceMilliseconds;
  }

  /**
   * The age at which the daemon learned of the version, plus the time since then. The latter is the maximum of two
   * clocks: a wall clock that is set back hides time, and the monotonic clock does not include suspensions.
   */
  private age(version: LearnedVersion): number {
    const elapsed = Math.max(
      this.time.monotonic() - version.learnedAt,
      this.time.now() - version.learnedAtWallClock,
    );
    return ageWhenLearned(version) + elapsed;
  }
}

/** At least 0, because the time of the setting is from the clock of another VM, which may be ahead. */
function ageWhenLearned({ learnedAtWallClock, namedAt }: LearnedVersion): number {
  return Math.max(0, learnedAtWallClock - namedAt);
}
