import * as clock from '../clock';
import * as logging from '../logging';
import * as desiredVersionTimes from './desired-version-times';
import * as registers from './register';

/** Called on each newer register. */
export type RegisterListener = (register: registers.Register) => void;

/** The newest committed register that a daemon has received; it never returns to an older one. */
export class RegisterStore {
  private register = registers.EMPTY_REGISTER;

  private readonly listeners = new Set<RegisterListener>();

  private readonly times: desiredVersionTimes.DesiredVersionTimes;

  constructor(time: clock.Clock) {
    this.times = new desiredVersionTimes.DesiredVersionTimes(time);
  }

  get current(): registers.Register {
    return this.register;
  }

  subscribe(listener: RegisterListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Applies a newer register; returns whether it was applied.
   *
   * @param clockOffset milliseconds by which this daemon's wall clock is ahead of the one that the times are from
   */
  applyIfNewer(register: registers.Register, clockOffset = 0): boolean {
    if (register.sequence <= this.register.sequence) {
      return false;
    }
    this.register = { ...register, weights: this.times.merge(register.weights, clockOffset) };
    this.listeners.forEach((listener) => notify(listener, this.register));
    return true;
  }

  /** The register for a message to another daemon, which needs no names of teams. */
  encode(): registers.EncodedRegister {
    const { register } = this;
    const { cacheSharing, routing } = register;
    return registers.encodeRegister({
      ...register,
      routing: routing && { version: routing.version, text: routing.text },
      cacheSharing: cacheSharing && { since: cacheSharing.since },
      weights: this.times.withKnownTimes(register.weights),
    });
  }
}

const logger = new logging.Logger('control');

/** A listener that throws must stop neither the replica nor the other listeners. */
function notify(listener: RegisterListener, register: registers.Register): void {
  try {
    listener(register);
  } catch (error) {
    const reason = (error as Error).message;
    logger.error('register listener failed; the other listeners are called', {
      sequence: register.sequence,
      reason,
    });
  }
}
