import * as baselineStrategy from './baseline-strategy';
import * as deployment from './deployment';
import type * as fakeEngine from './fake-engine';
import type * as workload from './workload';

/**
 * Reads every cache, queue and speed without delay, also the requests in transit, and selects the engine with
 * the earliest first token.
 */
export class Oracle extends baselineStrategy.BaselineStrategy {
  private readonly inTransit = new Map<fakeEngine.FakeEngine, Set<workload.BenchRequest>>();

  protected override choose(request: workload.BenchRequest): fakeEngine.FakeEngine {
    const costs = this.live.map((engine) => ({ engine, cost: this.firstToken(request, engine) }));
    const { engine } = costs.reduce((best, other) => (other.cost < best.cost ? other : best));
    this.recordInTransit(request, engine);
    return engine;
  }

  private firstToken(request: workload.BenchRequest, engine: fakeEngine.FakeEngine): number {
    const requestsInTransit = [...(this.inTransit.get(engine) ?? [])];
    const pending = [...engine.pendingChains, ...requestsInTransit.map((other) => other.chain)];
    const depth = pending.reduce(
      (deepest, chain) => Math.max(deepest, commonDepth(chain, request.chain)),
      engine.cache.depth(request.chain),
    );
    const own = Math.max(64, request.promptTokens - depth * 1_000);
    const inTransitTokens = requestsInTransit.reduce(
      (sum, other) => sum + engine.uncachedTokens(other),
      0,
    );
    const tokens = own + inTransitTokens + engine.queuedPrefillTokens;
    const prefill = (tokens / engine.parameters.prefillTokensPerSecond) * 1_000;
    return (
      engine.slotDelayMilliseconds +
      prefill * engine.slowdown +
      2 * deployment.delay(this.environment.cluster, request.zone, engine.zone)
    );
  }

  private recordInTransit(request: workload.BenchRequest, engine: fakeEngine.FakeEngine): void {
    const set = this.inTransit.get(engine) ?? new Set();
    this.inTransit.set(engine, set.add(request));
    const oneWay = deployment.delay(this.environment.cluster, request.zone, engine.zone);
    this.environment.time.after(oneWay, () => set.delete(request));
  }

  protected override ended(): void {}
}

function commonDepth(left: readonly string[], right: readonly string[]): number {
  const different = left.findIndex((hash, index) => hash !== right[index]);
  return different < 0 ? left.length : different;
}
