import * as baselineStrategy from './baseline-strategy';
import type * as fakeEngine from './fake-engine';
import type * as workload from './workload';

/** Each daemon selects the engines in turn. */
export class RoundRobin extends baselineStrategy.BaselineStrategy {
  private readonly turns = new Map<string, number>();

  protected override choose(request: workload.BenchRequest): fakeEngine.FakeEngine {
    const daemon = baselineStrategy.daemonOf(request);
    const turn = (this.turns.get(daemon) ?? request.balancer) + 1;
    this.turns.set(daemon, turn);
    return this.live[turn % this.live.length];
  }

  protected override ended(): void {}
}
