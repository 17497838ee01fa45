import * as immutable from 'immutable';
import type * as command from './command';

/** Software versions by stream key. */
type Versions = immutable.Map<string, string>;

/**
 * Which software version began each of the recent streams. Callers take a broken stream up again at any gateway, also after
 * all gateways have lost their memory at once.
 */
export interface StreamOrigins {
  /** By the number of the period of the log's time in which the streams were recorded. */
  readonly periods: immutable.Map<number, Versions>;
  /** Streams in all periods. */
  readonly size: number;
}

export const EMPTY_STREAM_ORIGINS: StreamOrigins = { periods: immutable.Map(), size: 0 };

/**
 * Records streams and drops those that no caller can take up any more.
 *
 * @param timestamp the leader's time stamp of the entry, in milliseconds since the Unix epoch
 * @example
 * recordStreams(EMPTY_STREAM_ORIGINS, [{ softwareVersion: 'v1', keys: ['Zm9v'] }], timestamp).size; // 1
 */
export function recordStreams(
  origins: StreamOrigins,
  begun: readonly command.BegunStreams[],
  timestamp: number,
): StreamOrigins {
  const kept = prune(origins, timestamp);
  const period = periodOf(timestamp);
  const before = kept.periods.get(period) ?? immutable.Map<string, string>();
  const after = before.withMutations((versions) => {
    begun.forEach(({ softwareVersion, keys }) =>
      keys.forEach((key) => {
        const known = versions.get(key, softwareVersion);
        versions.set(key, known === softwareVersion ? softwareVersion : AMBIGUOUS);
      }),
    );
  });
  const size = kept.size + after.size - before.size;
  return { periods: kept.periods.set(period, after), size };
}

/**
 * The software version that began a stream; `undefined` if it is unknown, or if callers have used the same id for streams of
 * several versions.
 *
 * @example
 * originOf(origins, 'Zm9v'); // 'v1'
 */
export function originOf({ periods }: StreamOrigins, key: string): string | undefined {
  const found = new Set([...periods.values()].flatMap((versions) => versions.get(key) ?? []));
  const [version] = found;
  return found.size === 1 && version !== AMBIGUOUS ? version : undefined;
}

/** Drops the oldest periods, those that are too old and as many as exceed the limit of streams. */
function prune(origins: StreamOrigins, timestamp: number): StreamOrigins {
  const oldest = periodOf(timestamp) - RETENTION_PERIODS;
  let { size } = origins;
  const dropped = [...origins.periods.keys()]
    .sort((left, right) => left - right)
    .filter((period) => {
      const isDropped = period < oldest || size > MAXIMUM_STREAMS;
      size -= isDropped ? origins.periods.get(period)!.size : 0;
      return isDropped;
    });
  return dropped.length === 0 ? origins : { periods: origins.periods.deleteAll(dropped), size };
}

function periodOf(timestamp: number): number {
  return Math.floor(timestamp / PERIOD_MILLISECONDS);
}

/** Stands for a key under which streams of several versions were recorded; no software has this version. */
const AMBIGUOUS = '';

const PERIOD_MILLISECONDS = 5_000;

/** A minute: longer than any caller tries to get its answer. */
const RETENTION_PERIODS = 12;

/** Streams of a minute at the peak of the size designed for, and a third more. */
const MAXIMUM_STREAMS = 250_000;

/** Stream origins as they are written to snapshots: each period with its streams. */
export type EncodedStreamOrigins = readonly (readonly [
  number,
  readonly (readonly [string, string])[],
])[];

export function encodeStreamOrigins({ periods }: StreamOrigins): EncodedStreamOrigins {
  return [...periods].map(([period, versions]) => [period, [...versions]]);
}

export function decodeStreamOrigins(encoded: EncodedStreamOrigins = []): StreamOrigins {
  const periods = immutable.Map(
    encoded.map(([period, streams]) => [
      period,
      immutable.Map(streams.map(([key, version]): [string, string] => [key, version])),
    ]),
  );
  return { periods, size: periods.reduce((sum, versions) => sum + versions.size, 0) };
}
