import type * as deployment from './deployment';
import type * as fakeEngine from './fake-engine';
import type * as simulation from './simulation';
import type * as verdict from '../verdict';
import type * as workload from './workload';

/** What a strategy may use of the world it runs in. */
export interface Environment {
  readonly time: simulation.Simulation;
  readonly place: deployment.Deployment;
  readonly engines: readonly fakeEngine.FakeEngine[];
  readonly seed: number;
  /** Sends an attempt from a daemon's zone to an engine; the result cancels it. */
  send(attempt: Attempt): () => void;
  fail(request: workload.BenchRequest, failure: verdict.RequestFailure): void;
}

/** One attempt and what the strategy wants to hear of it; times include the network. */
export interface Attempt {
  readonly request: workload.BenchRequest;
  readonly engine: fakeEngine.FakeEngine;
  readonly hedge: boolean;
  readonly resumeFrom: number;
  readonly onHead?: (cachedTokens: number, incarnation: string) => void;
  readonly onPiece?: (nextPiece: number) => void;
  readonly onFinish?: () => void;
  readonly onLost: () => void;
}

/** A way to route requests: figline's core, a baseline, or the oracle. */
export abstract class Strategy {
  abstract start(world: Environment): void;

  abstract route(request: workload.BenchRequest): void;

  /** An engine crashed or came back. */
  abstract serversChanged(): void;

  /** Routers restart and forget what they learned. */
  abstract restart(): void;

  /** A piece entered or left an engine's cache. */
  abstract cacheChanged(engine: fakeEngine.FakeEngine, hash: string, stored: boolean): void;
}
