import * as clock from '../clock';
import type * as control from '../control';

/**
 * Load pattern: an engine that was unreachable during a roll-out comes back with old weights and looks idle,
 * so that it draws new requests before the leader can order it. Once a version was named long enough ago,
 * engines without it get no work.
 */
export class WeightsAge {
  private readonly learned = new Map<string, { version: number; at: number }>();

  /** @param graceMilliseconds time after which requests must not begin on an older version */
  constructor(
    private readonly time: clock.Clock,
    readonly graceMilliseconds: number,
  ) {}

  /** The oldest version of a model that may still get work; absent while any may. */
  minimum(model: string, named: control.NamedWeights | undefined): string | undefined {
    if (named === undefined) {
      return undefined;
    }
    const isOver = this.age(model, named) >= this.graceMilliseconds;
    return isOver ? String(named.version) : undefined;
  }

  /** Wall clocks differ a little, and a daemon that has just started learned of the version late. */
  private age(model: string, { version, namedAt }: control.NamedWeights): number {
    const known = this.learned.get(model);
    const at = known?.version === version ? known.at : this.time.monotonic();
    this.learned.set(model, { version, at });
    return Math.max(this.time.monotonic() - at, this.time.now() - namedAt);
  }
}
