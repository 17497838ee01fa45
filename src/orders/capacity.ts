import * as conditions from './engine-condition';
import type * as states from './state';

interface EngineCounts {
  readonly live: number;
  readonly loaded: number;
}

/** How many engines of each service are live and loaded with weights that get work, which bounds how many may be taken out. */
export class Capacity {
  private readonly counts = new Map<string, EngineCounts>();

  constructor(state: states.OrderState, at: number) {
    state.engines.forEach((engine) => {
      const { live, loaded } = this.countsOf(engine.service);
      this.counts.set(engine.service, {
        live: live + (engine.listed ? 1 : 0),
        loaded: loaded + (isServing(state, engine, at) ? 1 : 0),
      });
    });
  }

  /**
   * Whether the service can do without a loaded engine: at least half of its live engines stay loaded. The
   * only engine of a service is taken out too, since its weights could never be changed otherwise.
   */
  canTakeOutOfService(engine: states.EngineState): boolean {
    const { live, loaded } = this.countsOf(engine.service);
    const staying = loaded - 1;
    return live === 1 || staying * 2 >= live;
  }

  /** Counts a loaded engine as taken out. */
  takeOutOfService({ service }: states.EngineState): void {
    const { live, loaded } = this.countsOf(service);
    this.counts.set(service, { live, loaded: loaded - 1 });
  }

  private countsOf(service: string): EngineCounts {
    return this.counts.get(service) ?? { live: 0, loaded: 0 };
  }
}

function isServing(state: states.OrderState, engine: states.EngineState, at: number): boolean {
  return conditions.isLoaded(engine) && !conditions.isBelowMinimum(state, engine, at);
}
