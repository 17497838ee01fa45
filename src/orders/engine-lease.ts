import type * as backend from '../backend';

/** The right to use the client of an engine; `routing.BackendPool` gives it. */
export interface EngineLease {
  readonly client: Pick<backend.ModelEngine, 'order' | 'probe'>;
  release(): void;
}
