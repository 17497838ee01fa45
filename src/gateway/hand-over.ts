import * as clock from '../clock';
import type * as forwardExecution from './forward-execution';

/** Asks other gateways, one at a time, to go on with a stream while this gateway still has a run of it. */
export class HandOver {
  private running: forwardExecution.ForwardExecution | undefined;

  /** Monotonic time in milliseconds at which another gateway was asked last. */
  private offeredAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly time: clock.Clock) {}

  /**
   * Asks another gateway, unless one is being asked or was just now.
   *
   * @param createForwarding creates the request to the other gateway
   * @param onTakenOver called once the other gateway delivers
   */
  offer(
    createForwarding: (ownRun: forwardExecution.OwnRun) => forwardExecution.ForwardExecution,
    onTakenOver: () => void,
  ): void {
    const now = this.time.monotonic();
    if (this.running !== undefined || now - this.offeredAt < OFFER_INTERVAL_MILLISECONDS) {
      return;
    }
    this.offeredAt = now;
    this.running = createForwarding({
      takenOver: () => {
        this.running = undefined;
        onTakenOver();
      },
      refused: () => {
        this.running = undefined;
      },
    });
    this.running.run();
  }

  /** Withdraws the request to the other gateway, if there is one. */
  cancel(): void {
    this.running?.cancel();
    this.running = undefined;
  }
}

/** Servers that other gateways found full may have room after this time. */
const OFFER_INTERVAL_MILLISECONDS = 500;
