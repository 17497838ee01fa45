import * as immutable from 'immutable';

/** Work at one moment. */
export interface Load {
  readonly requests: number;
  /** Uncached prompt tokens whose prefill has not ended. */
  readonly prefillTokens: number;
  /** Tokens that requests hold in the server's memory, or will; 0 when unknown. */
  readonly memoryTokens?: number;
}

interface Sample extends Load {
  readonly at: number;
}

/**
 * Load of one server: the daemon's own work, which is exact, and the work of other daemons, which is
 * what a lagging report says beyond the daemon's own work at the time of the measurement.
 */
export interface ServerLoad {
  readonly own: Load;
  /** Own requests of the class for long work. */
  readonly ownLongRequests: number;
  readonly others: Load;
  /** When the report about the others was measured. */
  readonly measuredAt: number;
  /** Own work after each change, oldest first. */
  readonly samples: immutable.List<Sample>;
}

/** A report of an engine, with the time at which it was measured. */
export interface Measurement extends Load {
  readonly measuredAt: number;
}

const NO_WORK: Load = { requests: 0, prefillTokens: 0 };

export const IDLE_LOAD: ServerLoad = {
  own: NO_WORK,
  ownLongRequests: 0,
  others: NO_WORK,
  measuredAt: 0,
  samples: immutable.List<Sample>(),
};

/**
 * Adds own work (negative numbers remove it).
 *
 * @example
 * changeOwn(load, { requests: 1, prefillTokens: 3_000 }, false, at);
 */
export function changeOwnLoad(
  load: ServerLoad,
  delta: Load,
  long: boolean,
  at: number,
): ServerLoad {
  const own = {
    requests: load.own.requests + delta.requests,
    prefillTokens: Math.max(0, load.own.prefillTokens + delta.prefillTokens),
    memoryTokens: Math.max(0, (load.own.memoryTokens ?? 0) + (delta.memoryTokens ?? 0)),
  };
  const recent = load.samples.skipWhile(
    (sample, position) => sample.at < at - HISTORY_MILLISECONDS && position < load.samples.size - 1,
  );
  return {
    ...load,
    own,
    ownLongRequests: load.ownLongRequests + (long ? delta.requests : 0),
    samples: recent.push({ ...own, at }),
  };
}

/**
 * Takes over a load report. Own work of the time of the measurement is subtracted, so that a request
 * dispatched after it counts once and a request that ended after it does not count.
 */
export function applyMeasurement(load: ServerLoad, measurement: Measurement): ServerLoad {
  const then = ownAt(load, measurement.measuredAt);
  return {
    ...load,
    measuredAt: measurement.measuredAt,
    others: {
      requests: Math.max(0, measurement.requests - then.requests),
      prefillTokens: Math.max(0, measurement.prefillTokens - then.prefillTokens),
      memoryTokens: Math.max(0, (measurement.memoryTokens ?? 0) - (then.memoryTokens ?? 0)),
    },
  };
}

/**
 * Drops what an old report said about other daemons. If reports stop, the work that they counted would
 * otherwise keep slots closed for ever.
 */
export function expireMeasurement(load: ServerLoad, at: number): ServerLoad {
  const isOld = at - load.measuredAt > EXPIRY_MILLISECONDS;
  return isOld && load.others !== NO_WORK ? { ...load, others: NO_WORK } : load;
}

/** The estimate of all work at the server now. */
export function totalLoad(load: ServerLoad): Load {
  return {
    requests: load.own.requests + load.others.requests,
    prefillTokens: load.own.prefillTokens + load.others.prefillTokens,
    memoryTokens: (load.own.memoryTokens ?? 0) + (load.others.memoryTokens ?? 0),
  };
}

function ownAt({ samples }: ServerLoad, at: number): Load {
  // Asked for each server several times a second, for which the iterators of the list are slow.
  for (let place = samples.size - 1; place >= 0; place -= 1) {
    const sample = samples.get(place)!;
    if (sample.at <= at) {
      return sample;
    }
  }
  return samples.first() ?? NO_WORK;
}

/** Reports are up to 2 s late; work older than this needs no history. */
const HISTORY_MILLISECONDS = 4_000;
/** Reports come several times a second and are up to 2 s late. */
const EXPIRY_MILLISECONDS = 5_000;
