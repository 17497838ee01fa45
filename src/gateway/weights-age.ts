import * as clock from '../clock';
import type * as control from '../control';

interface LearnedVersion extends control.DesiredVersion {
  /** Monotonic time at which this daemon learned of it. */
  readonly learnedAt: number;
  /** Wall-clock time at which it did. */
  readonly learnedOn: number;
}

/** Ages of a version, for logs. */
export interface VersionAges {
  /** Time since it was named. */
  readonly ageMilliseconds: number;
  /** Time from its naming until this daemon learned of it. */
  readonly ageWhenLearnedMilliseconds: number;
}

/** How long a version has been known; it was named at least as long ago. */
export interface DesiredVersionAge {
  readonly weightsVersion: string;
  readonly ageMilliseconds: number;
}

/** What is known of one model. */
interface ModelVersions {
  /** The oldest version that gets work; absent while any does. */
  readonly minimum?: LearnedVersion;
  /** Later versions, the newest last. */
  readonly waiting: readonly LearnedVersion[];
}

/**
 * Load pattern: an engine that was unreachable during a roll-out comes back with old weights and looks idle,
 * so that it draws new requests before the leader can order it; and with a version named every few seconds
 * some engines are always behind. Once a version was named long enough ago, engines without it get no work,
 * also when a newer one has been named since.
 *
 * The age of a version is looked up whenever it matters. A timer would fire late after a suspension of the VM.
 */
export class WeightsAge {
  private readonly models = new Map<string, ModelVersions>();

  /** @param graceMilliseconds time after which requests must not begin on an older version */
  constructor(
    private readonly time: clock.Clock,
    readonly graceMilliseconds: number,
  ) {}

  /** The oldest version of a model that may still get work; absent while any may. */
  minimumVersion(model: string, named: control.DesiredWeights | undefined): string | undefined {
    const known = this.models.get(model) ?? { waiting: [] };
    const versions = [...known.waiting, ...this.newVersions(known, named)];
    const minimum = versions.filter((version) => this.isOldEnough(version)).at(-1) ?? known.minimum;
    const waiting = versions.filter(({ version }) => version > (minimum?.version ?? -Infinity));
    this.models.set(model, { minimum, waiting });
    return minimum?.version.toString();
  }

  /** Whether `minimum` would return another version for some model than it did last. */
  isChangeDue(): boolean {
    return [...this.models.values()].some(({ waiting }) =>
      waiting.some((version) => this.isOldEnough(version)),
    );
  }

  /**
   * How long ago the first version after the given one was named, as far as this daemon knows; absent for the newest.
   * For a version that gets no work any more it is at least this long.
   */
  supersededMilliseconds(model: string, version: string): number | undefined {
    const newer = this.versions(model).find((known) => known.version > Number(version));
    return newer && Math.round(this.age(newer));
  }

  /** Ages of a version that gets work; absent when it is not known. */
  agesOf(model: string, version: string): VersionAges | undefined {
    const known = this.versions(model).find((other) => other.version === Number(version));
    return (
      known && {
        ageMilliseconds: Math.round(this.age(known)),
        ageWhenLearnedMilliseconds: Math.round(ageWhenLearned(known)),
      }
    );
  }

  /**
   * The versions of a model from the oldest one that gets work on, oldest first. Engines are ordered by these ages, and
   * an age that is too large, as after a step of the clock, would take all of a service out of work at once.
   */
  desiredVersions(model: string): readonly DesiredVersionAge[] {
    return this.versions(model).map((known) => ({
      weightsVersion: known.version.toString(),
      ageMilliseconds: this.time.monotonic() - known.learnedAt,
    }));
  }

  private versions(model: string): readonly LearnedVersion[] {
    const { minimum, waiting = [] } = this.models.get(model) ?? {};
    return minimum === undefined ? waiting : [minimum, ...waiting];
  }

  private newVersions(
    { minimum, waiting }: ModelVersions,
    named: control.DesiredWeights | undefined,
  ): readonly LearnedVersion[] {
    const newest = waiting.at(-1) ?? minimum;
    const learnedAt = this.time.monotonic();
    const learnedOn = this.time.now();
    const namings = named === undefined ? [] : [...(named.earlier ?? []), named];
    return namings
      .filter(({ version }) => version > (newest?.version ?? -Infinity))
      .map(({ version, namedAt }) => ({ version, namedAt, learnedAt, learnedOn }));
  }

  private isOldEnough(version: LearnedVersion): boolean {
    return this.age(version) >= this.graceMilliseconds;
  }

  /**
   * The age when the daemon learned of the version, and the time since then. Of two clocks for the latter the one
   * that shows more counts: one that is set back hides time, and a suspension is missing on the monotonic clock.
   */
  private age(version: LearnedVersion): number {
    const elapsed = Math.max(
      this.time.monotonic() - version.learnedAt,
      this.time.now() - version.learnedOn,
    );
    return ageWhenLearned(version) + elapsed;
  }
}

/** The date of a naming is from the clock of another VM and may lie ahead. */
function ageWhenLearned({ learnedOn, namedAt }: LearnedVersion): number {
  return Math.max(0, learnedOn - namedAt);
}
