import * as v8 from 'node:v8';
import * as vm from 'node:vm';

/** Collects garbage at once. */
export interface GarbageCollector {
  /** Frees what has become unused lately; takes a millisecond or two. */
  collectRecent(): void;
  /** Frees everything that is unused; takes tens of milliseconds. */
  collectAll(): void;
}

/**
 * Returns the collections of V8, which are otherwise only exposed by a flag at the start. Compiled code that the build has stored
 * for other flags would be refused then; the flag is set only while the function is created.
 *
 * @example
 * garbageCollector().collectAll();
 */
export function garbageCollector(): GarbageCollector {
  v8.setFlagsFromString('--expose-gc');
  const collect = vm.runInNewContext('gc') as (options?: { readonly type: string }) => void;
  v8.setFlagsFromString('--no-expose-gc');
  return { collectRecent: () => collect({ type: 'minor' }), collectAll: () => collect() };
}
