import * as conditions from './engine-condition';
import type * as states from './state';

interface EngineCounts {
  readonly live: number;
  readonly loaded: number;
}

/**
 * Counts the live engines of each service, and those of them that can serve requests. The counts limit how many
 * engines may be out of service for a load.
 */
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
   * Whether a loaded engine may be taken out of service: at least half of the service's live engines must stay
   * loaded. The only engine of a service may always be taken out, because its weights could never change otherwise.
   */
  canTakeOutOfService(engine: states.EngineState): boolean {
    const { live, loaded } = this.countsOf(engine.service);
    const remaining = loaded - 1;
    return live === 1 || remaining * 2 >= live;
  }

  /** Counts a loaded engine as out of service. */
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
