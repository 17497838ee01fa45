import * as placement from '../placement';
import * as coreStrategy from './core-strategy';
import type * as fakeEngine from './fake-engine';

/** The core with an index that receives every cache event at once, instead of the learned index. */
export class FullIndexStrategy extends coreStrategy.CoreStrategy {
  /** Number of cache events received so far. */
  receivedEvents = 0;

  protected override fullIndex?: placement.PrefixIndex = {
    ...placement.EMPTY_INDEX,
    lifetimeMilliseconds: Infinity,
  };

  override cacheChanged(engine: fakeEngine.FakeEngine, hash: string, stored: boolean): void {
    this.receivedEvents += 1;
    const change = stored ? placement.addBlock : placement.forgetBlock;
    this.fullIndex = change(
      this.fullIndex ?? placement.EMPTY_INDEX,
      engine.id,
      engine.incarnation,
      hash,
    );
  }
}
