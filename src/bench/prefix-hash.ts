import * as placement from '../placement';
import * as baselineStrategy from './baseline-strategy';
import type * as fakeEngine from './fake-engine';
import type * as workload from './workload';

/** Plain hashing of the prefix: each affinity key has one engine, whatever its load. */
export class PrefixHash extends baselineStrategy.BaselineStrategy {
  protected override choose(request: workload.BenchRequest): fakeEngine.FakeEngine {
    const affinityKey = placement.affinityKeyOf(request.chain);
    const [home] = placement.rankServers(
      affinityKey,
      this.live.map((engine) => engine.id),
    );
    return this.live.find((engine) => engine.id === home)!;
  }

  protected override ended(): void {}
}
