import * as immutable from 'immutable';

/** Load at one moment. */
export interface Load {
  readonly requests: number;
  /** Uncached prompt tokens whose prefill has not ended. */
  readonly prefillTokens: number;
  /** Tokens that requests hold or will hold in the server's memory; 0 when unknown. */
  readonly memoryTokens?: number;
}

interface Sample extends Load {
  readonly at: number;
}

/**
 * Load of one server. The daemon's own load is exact; the load of other daemons is the total of a delayed
 * report minus the daemon's own load at the time of the measurement.
 */
export interface ServerLoad {
  readonly own: Load;
  /** Own requests in the long lane. */
  readonly ownLongRequests: number;
  readonly others: Load;
  /** When the report behind `others` was measured. */
  readonly measuredAt: number;
  /** Own load after each change, oldest first. */
  readonly samples: immutable.List<Sample>;
}

/** A load report with the time of its measurement. */
export interface Measurement extends Load {
  readonly measuredAt: number;
}

const NO_LOAD: Load = { requests: 0, prefillTokens: 0 };

export const IDLE_LOAD: ServerLoad = {
  own: NO_LOAD,
  ownLongRequests: 0,
  others: NO_LOAD,
  measuredAt: 0,
  samples: immutable.List<Sample>(),
};

/**
 * Adds own load; negative numbers remove it.
 *
 * @example
 * changeOwnLoad(load, { requests: 1, prefillTokens: 3_000 }, false, at);
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
  return {
    ...load,
    own,
    ownLongRequests: load.ownLongRequests + (long ? delta.requests : 0),
    samples: recentSamples(load.samples, at).push({ ...own, at }),
  };
}

/**
 * Applies a load report. Own load at the time of the measurement is subtracted, so that a request dispatched
 * after it counts once and a request that ended after it does not count.
 */
export function applyMeasurement(load: ServerLoad, measurement: Measurement): ServerLoad {
  const ownAtMeasurement = ownAt(load, measurement.measuredAt);
  return {
    ...load,
    measuredAt: measurement.measuredAt,
    others: {
      requests: Math.max(0, measurement.requests - ownAtMeasurement.requests),
      prefillTokens: Math.max(0, measurement.prefillTokens - ownAtMeasurement.prefillTokens),
      memoryTokens: Math.max(
        0,
        (measurement.memoryTokens ?? 0) - (ownAtMeasurement.memoryTokens ?? 0),
      ),
    },
  };
}

/**
 * Drops the load of other daemons when the last report is old. If reports stop, that load would otherwise
 * occupy slots for ever.
 */
export function expireMeasurement(load: ServerLoad, at: number): ServerLoad {
  const isOld = at - load.measuredAt > EXPIRY_MILLISECONDS;
  return isOld && load.others !== NO_LOAD ? { ...load, others: NO_LOAD } : load;
}

/** The estimated load of all daemons at the server now. */
export function totalLoad(load: ServerLoad): Load {
  return {
    requests: load.own.requests + load.others.requests,
    prefillTokens: load.own.prefillTokens + load.others.prefillTokens,
    memoryTokens: (load.own.memoryTokens ?? 0) + (load.others.memoryTokens ?? 0),
  };
}

function ownAt({ samples }: ServerLoad, at: number): Load {
  // This runs for each server several times a second, for which the iterators of the list are too slow.
  for (let index = samples.size - 1; index >= 0; index -= 1) {
    const sample = samples.get(index)!;
    if (sample.at <= at) {
      return sample;
    }
  }
  return samples.first() ?? NO_LOAD;
}

/** The samples that are recent enough, and the last one in any case. They are counted first, as the list would be copied to skip them one by one. */
function recentSamples(samples: immutable.List<Sample>, at: number): immutable.List<Sample> {
  let skipped = 0;
  while (skipped < samples.size - 1 && samples.get(skipped)!.at < at - HISTORY_MILLISECONDS) {
    skipped += 1;
  }
  return samples.slice(skipped);
}

/** Reports are up to 2 s late, so that older samples are not needed. */
const HISTORY_MILLISECONDS = 4_000;
/** Reports come several times a second and are up to 2 s late. */
const EXPIRY_MILLISECONDS = 5_000;
