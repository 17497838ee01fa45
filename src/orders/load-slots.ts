import * as capacityModule from './capacity';
import * as effects from './effect';
import * as conditions from './engine-condition';
import type * as states from './state';

/** Slots for engines that load weights concurrently, over all services; created again for each tick. */
export class LoadSlots {
  private readonly capacity: capacityModule.Capacity;

  private readonly limit: number;

  private occupied: number;

  constructor(
    private readonly state: states.OrderState,
    private readonly at: number,
  ) {
    const { maximumLoads, loadFraction } = state.parameters;
    this.capacity = new capacityModule.Capacity(state, at);
    this.limit = Math.max(maximumLoads, Math.floor(state.engines.size * loadFraction));
    this.occupied = state.engines.count((engine) => conditions.occupiesLoadSlot(state, engine, at));
  }

  get free(): number {
    return Math.max(0, this.limit - this.occupied);
  }

  /** Whether enough engines of the service can serve requests while this one loads. */
  canTakeOutOfService(engine: states.EngineState): boolean {
    return this.capacity.canTakeOutOfService(engine);
  }

  /** Acquires a slot for a loaded engine; returns why it may load now, or `undefined` if it has to wait. */
  tryAcquire(engine: states.EngineState): effects.OrderReason | undefined {
    if (conditions.isBelowMinimum(this.state, engine, this.at)) {
      return effects.OrderReason.BelowMinimum;
    }
    if (this.free === 0 || !this.capacity.canTakeOutOfService(engine)) {
      return undefined;
    }
    this.occupied += 1;
    this.capacity.takeOutOfService(engine);
    return effects.OrderReason.SlotFree;
  }
}
