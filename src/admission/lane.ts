import * as configuration from '../configuration';

/** One of the two queues of a service; short requests never wait behind long ones. */
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
 * The number of slots of one server that long requests may occupy. A long request starts only while the
 * server has fewer requests than this, so that the other slots are free. Load reports include the requests of
 * other daemons, which therefore respect the same limit.
 *
 * @example
 * longSlots(8); // 5
 */
export function longSlots(slots: number): number {
  return Math.max(1, slots - Math.ceil(slots * RESERVED_FRACTION));
}

/** A request that occupies a slot for longer than this is in the long lane. */
const LONG_MILLISECONDS = 15_000;
const RESERVED_FRACTION = 0.375;
