import type * as backend from '../backend';

/** A reference to the client of an engine, borrowed from `routing.BackendPool` until `release` is called. */
export interface EngineLease {
  readonly client: Pick<backend.ModelEngine, 'order' | 'probe'>;
  release(): void;
}
