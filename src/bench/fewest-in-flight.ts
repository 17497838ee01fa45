import * as baselineStrategy from './baseline-strategy';
import type * as fakeEngine from './fake-engine';
import type * as workload from './workload';

/** Each daemon selects the engine with the fewest of the daemon's own requests in flight. */
export class FewestInFlight extends baselineStrategy.BaselineStrategy {
  private readonly inFlight = new Map<string, number>();

  protected override choose(request: workload.BenchRequest): fakeEngine.FakeEngine {
    const count = (engine: fakeEngine.FakeEngine) => this.inFlight.get(keyOf(request, engine)) ?? 0;
    const offset = request.balancer % this.live.length;
    const order = [...this.live.slice(offset), ...this.live.slice(0, offset)];
    const chosen = order.reduce((best, engine) => (count(engine) < count(best) ? engine : best));
    this.change(request, chosen, 1);
    return chosen;
  }

  protected override ended(request: workload.BenchRequest, engine: fakeEngine.FakeEngine): void {
    this.change(request, engine, -1);
  }

  private change(
    request: workload.BenchRequest,
    engine: fakeEngine.FakeEngine,
    delta: number,
  ): void {
    const key = keyOf(request, engine);
    this.inFlight.set(key, (this.inFlight.get(key) ?? 0) + delta);
  }
}

function keyOf(request: workload.BenchRequest, engine: fakeEngine.FakeEngine): string {
  return `${baselineStrategy.daemonOf(request)}>${engine.id}`;
}
