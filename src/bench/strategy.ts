import type * as deployment from './deployment';
import type * as fakeEngine from './fake-engine';
import type * as simulation from './simulation';
import type * as verdict from '../verdict';
import type * as workload from './workload';

/** The engines, clock and callbacks that a strategy may use. */
export interface Environment {
  readonly time: simulation.Simulation;
  readonly cluster: deployment.Deployment;
  readonly engines: readonly fakeEngine.FakeEngine[];
  readonly seed: number;
  /** Sends an attempt from a daemon's zone to an engine; the returned function cancels it. */
  send(attempt: Attempt): () => void;
  fail(request: workload.BenchRequest, failure: verdict.RequestFailure): void;
}

/** One attempt and the callbacks about its progress, which include the network delay. */
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
  abstract start(environment: Environment): void;

  abstract route(request: workload.BenchRequest): void;

  /** An engine crashed or came back. */
  abstract serversChanged(): void;

  /** Routers restart and lose the state that they learned. */
  abstract restart(): void;

  /** A block entered or left an engine's cache. */
  abstract cacheChanged(engine: fakeEngine.FakeEngine, hash: string, stored: boolean): void;
}
