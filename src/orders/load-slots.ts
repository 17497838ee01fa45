import * as capacityModule from './capacity';
import * as effects from './effect';
import * as conditions from './engine-condition';
import type * as states from './state';

/** The places of engines that load at the same time, over all services, while one tick plans. */
export class LoadSlots {
  private readonly capacity: capacityModule.Capacity;

  private readonly allowed: number;

  private held: number;

  constructor(
    private readonly state: states.OrderState,
    private readonly at: number,
  ) {
    const { maximumLoads, loadFraction } = state.parameters;
    this.capacity = new capacityModule.Capacity(state, at);
    this.allowed = Math.max(maximumLoads, Math.floor(state.engines.size * loadFraction));
    this.held = state.engines.count((engine) => conditions.occupiesLoadSlot(state, engine, at));
  }

  get free(): number {
    return Math.max(0, this.allowed - this.held);
  }

  /** Whether enough engines of the service go on to serve without the loaded engine. */
  canTakeOutOfService(engine: states.EngineState): boolean {
    return this.capacity.canTakeOutOfService(engine);
  }

  /** Takes a loaded engine out; returns why it may load now, or `undefined` when it has to wait. */
  tryAcquire(engine: states.EngineState): effects.OrderReason | undefined {
    if (conditions.isBelowMinimum(this.state, engine, this.at)) {
      return effects.OrderReason.BelowMinimum;
    }
    if (this.free === 0 || !this.capacity.canTakeOutOfService(engine)) {
      return undefined;
    }
    this.held += 1;
    this.capacity.takeOutOfService(engine);
    return effects.OrderReason.SlotFree;
  }
}
