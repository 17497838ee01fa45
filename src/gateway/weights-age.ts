import * as clock from '../clock';
import type * as control from '../control';

interface LearnedVersion extends control.WeightsNaming {
  /** Monotonic time at which this daemon learned of it. */
  readonly learnedAt: number;
}

/**
 * Load pattern: an engine that was unreachable during a roll-out comes back with old weights and looks idle,
 * so that it draws new requests before the leader can order it; and with a version named every few seconds
 * some engines are always behind. Once a version was named long enough ago, engines without it get no work,
 * also when a newer one has been named since.
 */
export class WeightsAge {
  /** Versions of each model, the newest last; of those that are old enough only the newest. */
  private readonly learned = new Map<string, readonly LearnedVersion[]>();

  /** @param graceMilliseconds time after which requests must not begin on an older version */
  constructor(
    private readonly time: clock.Clock,
    readonly graceMilliseconds: number,
  ) {}

  /** The oldest version of a model that may still get work; absent while any may. */
  minimum(model: string, named: control.NamedWeights | undefined): string | undefined {
    const versions = this.withNamed(model, named);
    const oldEnough = versions.filter((known) => this.age(known) >= this.graceMilliseconds);
    const minimum = oldEnough.at(-1);
    const kept = versions.filter((known) => known.version >= (minimum?.version ?? -Infinity));
    this.learned.set(model, kept);
    return minimum?.version.toString();
  }

  /** Time until a version becomes the oldest that gets work; absent while none is about to. */
  untilNextMilliseconds(): number | undefined {
    const left = [...this.learned.values()]
      .flat()
      .map((known) => this.graceMilliseconds - this.age(known))
      .filter((milliseconds) => milliseconds > 0);
    return left.length === 0 ? undefined : Math.min(...left);
  }

  private withNamed(
    model: string,
    named: control.NamedWeights | undefined,
  ): readonly LearnedVersion[] {
    const known = this.learned.get(model) ?? [];
    const newest = known.at(-1)?.version ?? -Infinity;
    const learnedAt = this.time.monotonic();
    const added = named === undefined ? [] : [...(named.earlier ?? []), named];
    return [
      ...known,
      ...added
        .filter(({ version }) => version > newest)
        .map(({ version, namedAt }) => ({ version, namedAt, learnedAt })),
    ];
  }

  /** Wall clocks differ a little, and a daemon that has just started learned of the version late. */
  private age({ learnedAt, namedAt }: LearnedVersion): number {
    return Math.max(this.time.monotonic() - learnedAt, this.time.now() - namedAt);
  }
}
