import * as configuration from '../configuration';

/** Queue in which a request waits; short work never waits behind long work. */
export enum Lane {
  Short = 'short',
  Long = 'long',
}

/**
 * The lane of a request: as configured, or by its estimated cost.
 *
 * @example
 * laneOf(RequestClass.Auto, 30_000); // Lane.Long
 */
export function laneOf(requestClass: configuration.RequestClass, costMilliseconds: number): Lane {
  if (requestClass === configuration.RequestClass.Auto) {
    return costMilliseconds > LONG_MILLISECONDS ? Lane.Long : Lane.Short;
  }
  return requestClass === configuration.RequestClass.Long ? Lane.Long : Lane.Short;
}

/**
 * The slots of one server that long work can take. Long work also starts only while the other slots are
 * free, which holds across daemons because load reports count everyone's requests.
 *
 * @example
 * longSlots(8); // 5
 */
export function longSlots(slots: number): number {
  return Math.max(1, slots - Math.ceil(slots * RESERVED_FRACTION));
}

/** A request that occupies a slot for longer than this is long. */
const LONG_MILLISECONDS = 15_000;
const RESERVED_FRACTION = 0.375;
