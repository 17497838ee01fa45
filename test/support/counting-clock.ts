import * as clock from '../../src/clock';

/** A clock that counts the timers that are set. */
export class CountingClock extends clock.ManualClock {
  timers = 0;

  override setTimer(delayMilliseconds: number, callback: () => void): clock.Timer {
    this.timers += 1;
    return super.setTimer(delayMilliseconds, callback);
  }
}
