import * as immutable from 'immutable';
import type * as entry from './entry';

/** The entries after `baseIndex`; a snapshot covers all entries up to it. */
export interface Log {
  readonly baseIndex: number;
  readonly baseTerm: number;
  readonly baseTimestamp: number;
  readonly entries: immutable.List<entry.Entry>;
}

export const EMPTY_LOG: Log = {
  baseIndex: 0,
  baseTerm: 0,
  baseTimestamp: 0,
  entries: immutable.List(),
};

export function lastIndex(log: Log): number {
  return log.baseIndex + log.entries.size;
}

export function lastTerm(log: Log): number {
  return log.entries.last()?.term ?? log.baseTerm;
}

export function lastTimestamp(log: Log): number {
  return log.entries.last()?.timestamp ?? log.baseTimestamp;
}

/** The entry at `index`; `undefined` when it was compacted or does not exist. */
export function at(log: Log, index: number): entry.Entry | undefined {
  return index > log.baseIndex ? log.entries.get(index - log.baseIndex - 1) : undefined;
}

/** The term of the entry at `index`; `undefined` when it was compacted or does not exist. */
export function termAt(log: Log, index: number): number | undefined {
  return index === log.baseIndex ? log.baseTerm : at(log, index)?.term;
}

/** The entries from `first` to `last`, both included. */
export function slice(log: Log, first: number, last: number): readonly entry.Entry[] {
  const start = Math.max(0, first - log.baseIndex - 1);
  return log.entries.slice(start, Math.max(start, last - log.baseIndex)).toArray();
}

/** Appends entries whose first index is one above the last index. */
export function append(log: Log, added: readonly entry.Entry[]): Log {
  return { ...log, entries: log.entries.push(...added) };
}

/** Removes every entry above `index`. */
export function truncateAfter(log: Log, index: number): Log {
  return { ...log, entries: log.entries.take(index - log.baseIndex) };
}

/** Removes every entry up to `index`, which a snapshot covers. */
export function compact(log: Log, index: number): Log {
  const base = at(log, index);
  if (base === undefined) {
    return log;
  }
  return {
    baseIndex: index,
    baseTerm: base.term,
    baseTimestamp: base.timestamp,
    entries: log.entries.skip(index - log.baseIndex),
  };
}

/** The first index of the run of entries that have the same term as the one at `index`. */
export function firstIndexOfTerm(log: Log, index: number): number {
  const term = termAt(log, index);
  let first = index;
  while (first - 1 > log.baseIndex && termAt(log, first - 1) === term) {
    first -= 1;
  }
  return first;
}
