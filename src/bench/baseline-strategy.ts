import * as verdict from '../verdict';
import type * as fakeEngine from './fake-engine';
import * as strategy from './strategy';
import type * as workload from './workload';

/** A router that sends each request at once to one engine, which queues it. */
export abstract class BaselineStrategy extends strategy.Strategy {
  protected environment!: strategy.Environment;

  protected abstract choose(request: workload.BenchRequest): fakeEngine.FakeEngine;

  override start(environment: strategy.Environment): void {
    this.environment = environment;
  }

  override serversChanged(): void {}

  override restart(): void {}

  override cacheChanged(): void {}

  override route(request: workload.BenchRequest): void {
    this.send(request, MAXIMUM_ATTEMPTS);
  }

  protected get live(): readonly fakeEngine.FakeEngine[] {
    return this.environment.engines.filter((engine) => engine.alive);
  }

  /** An attempt at an engine has ended. */
  protected abstract ended(request: workload.BenchRequest, engine: fakeEngine.FakeEngine): void;

  private send(request: workload.BenchRequest, attempts: number): void {
    const engine = this.choose(request);
    this.environment.send({
      request,
      engine,
      hedge: false,
      resumeFrom: 0,
      onFinish: () => this.ended(request, engine),
      onLost: () => {
        this.ended(request, engine);
        if (attempts > 1) {
          this.send(request, attempts - 1);
        } else {
          this.environment.fail(request, LOST);
        }
      },
    });
  }
}

/** The daemon that gets a request; about two or three daemons serve each zone. */
export function daemonOf(request: workload.BenchRequest): string {
  return `${request.zone}/${request.balancer % 3}`;
}

const MAXIMUM_ATTEMPTS = 3;
const LOST = verdict.failure(
  verdict.FailureReason.ConnectionLost,
  verdict.Verdict.MayHaveRun,
  'The connection was lost.',
);
