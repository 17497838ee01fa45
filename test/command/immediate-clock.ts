import * as clock from '../../src/clock';

/** A clock whose timers fire at once; each advances the time by its delay. */
export class ImmediateClock extends clock.Clock {
  private time = 0;

  override now(): number {
    return this.time;
  }

  override monotonic(): number {
    return this.time;
  }

  override setTimer(delayMilliseconds: number, callback: () => void): clock.Timer {
    const handle = setImmediate(() => {
      this.time += delayMilliseconds;
      callback();
    });
    return { cancel: () => clearImmediate(handle) };
  }
}
