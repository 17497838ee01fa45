import * as conditions from './engine-condition';
import type * as states from './state';

interface EngineCounts {
  readonly live: number;
  readonly loaded: number;
}

/** How many engines of each service are live and loaded, which bounds how many may be taken out. */
export class Capacity {
  private readonly counts = new Map<string, EngineCounts>();

  constructor(state: states.OrderState) {
    state.engines.forEach((engine) => {
      const { live, loaded } = this.countsOf(engine.service);
      this.counts.set(engine.service, {
        live: live + (engine.listed ? 1 : 0),
        loaded: loaded + (conditions.isLoaded(engine) ? 1 : 0),
      });
    });
  }

  /**
   * Whether the service can do without a loaded engine: at least half of its live engines stay loaded. The
   * only engine of a service is taken out too, since its weights could never be changed otherwise.
   */
  allowsTakingOut(engine: states.EngineState): boolean {
    const { live, loaded } = this.countsOf(engine.service);
    const staying = loaded - 1;
    return live === 1 || staying * 2 >= live;
  }

  private countsOf(service: string): EngineCounts {
    return this.counts.get(service) ?? { live: 0, loaded: 0 };
  }
}
