import * as logging from '../logging';
import * as registers from './register';

/** Called on each newer register. */
export type RegisterListener = (register: registers.Register) => void;

/** The newest committed register that a daemon knows; it never moves back. */
export class RegisterStore {
  private register = registers.EMPTY_REGISTER;

  private readonly listeners = new Set<RegisterListener>();

  get current(): registers.Register {
    return this.register;
  }

  listen(listener: RegisterListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Takes a newer register; returns whether it was taken. */
  offer(register: registers.Register): boolean {
    if (register.sequence <= this.register.sequence) {
      return false;
    }
    this.register = register;
    this.listeners.forEach((listener) => notify(listener, register));
    return true;
  }
}

const logger = new logging.Logger('control');

/** A listener that fails must stop neither the replica nor the other listeners. */
function notify(listener: RegisterListener, register: registers.Register): void {
  try {
    listener(register);
  } catch (error) {
    const reason = (error as Error).message;
    logger.error('register listener failed', { sequence: register.sequence, reason });
  }
}
