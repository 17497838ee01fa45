import * as placement from '../placement';
import * as coreStrategy from './core-strategy';
import type * as fakeEngine from './fake-engine';

/** The core with an index that hears every cache event at once, in place of what daemons learn. */
export class FullIndexStrategy extends coreStrategy.CoreStrategy {
  /** Cache events heard so far. */
  receivedEvents = 0;

  protected override knowledge?: placement.PrefixIndex = {
    ...placement.EMPTY_INDEX,
    lifetimeMilliseconds: Infinity,
  };

  override cacheChanged(engine: fakeEngine.FakeEngine, hash: string, stored: boolean): void {
    this.receivedEvents += 1;
    const change = stored ? placement.addBlock : placement.forgetBlock;
    this.knowledge = change(
      this.knowledge ?? placement.EMPTY_INDEX,
      engine.id,
      engine.incarnation,
      hash,
    );
  }
}
