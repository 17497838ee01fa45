import * as baselineStrategy from './baseline-strategy';
import * as deployment from './deployment';
import type * as fakeEngine from './fake-engine';
import type * as workload from './workload';

/**
 * Knows every cache, queue and speed without delay, also the requests that are still on their way, and
 * takes the engine with the earliest first token.
 */
export class Oracle extends baselineStrategy.BaselineStrategy {
  private readonly travelling = new Map<fakeEngine.FakeEngine, Set<workload.BenchRequest>>();

  protected override choose(request: workload.BenchRequest): fakeEngine.FakeEngine {
    const costs = this.live.map((engine) => ({ engine, cost: this.firstToken(request, engine) }));
    const { engine } = costs.reduce((best, other) => (other.cost < best.cost ? other : best));
    this.track(request, engine);
    return engine;
  }

  private firstToken(request: workload.BenchRequest, engine: fakeEngine.FakeEngine): number {
    const travelling = [...(this.travelling.get(engine) ?? [])];
    const pending = [...engine.pendingChains, ...travelling.map((other) => other.chain)];
    const depth = pending.reduce(
      (deepest, chain) => Math.max(deepest, commonDepth(chain, request.chain)),
      engine.cache.depth(request.chain),
    );
    const own = Math.max(64, request.promptTokens - depth * 1_000);
    const onTheirWay = travelling.reduce((sum, other) => sum + engine.uncachedTokens(other), 0);
    const tokens = own + onTheirWay + engine.queuedPrefillTokens;
    const prefill = (tokens / engine.parameters.prefillTokensPerSecond) * 1_000;
    return (
      engine.slotDelayMilliseconds +
      prefill * engine.slowdown +
      2 * deployment.delay(this.world.place, request.zone, engine.zone)
    );
  }

  private track(request: workload.BenchRequest, engine: fakeEngine.FakeEngine): void {
    const set = this.travelling.get(engine) ?? new Set();
    this.travelling.set(engine, set.add(request));
    const oneWay = deployment.delay(this.world.place, request.zone, engine.zone);
    this.world.time.after(oneWay, () => set.delete(request));
  }

  protected override ended(): void {}
}

function commonDepth(left: readonly string[], right: readonly string[]): number {
  const different = left.findIndex((hash, index) => hash !== right[index]);
  return different < 0 ? left.length : different;
}
