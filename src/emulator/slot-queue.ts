interface Waiting {
  readonly priority: number;
  readonly sequence: number;
  readonly start: () => void;
}

/** Batch slots of an engine: higher priority first, then first come, first served. */
export class SlotQueue {
  private waiting: Waiting[] = [];

  private taken = 0;

  private sequence = 0;

  constructor(private readonly slots: number) {}

  get running(): number {
    return this.taken;
  }

  get queued(): number {
    return this.waiting.length;
  }

  /** Calls `start` when a slot is free; the returned function gives the place or the slot back. */
  enter(priority: number, start: () => void): () => void {
    this.sequence += 1;
    const entry = { priority, sequence: this.sequence, start };
    this.waiting.push(entry);
    this.waiting.sort(
      (left, right) => right.priority - left.priority || left.sequence - right.sequence,
    );
    this.fill();
    let left = false;
    return () => {
      if (!left) {
        left = true;
        this.leave(entry);
      }
    };
  }

  private leave(entry: Waiting): void {
    const position = this.waiting.indexOf(entry);
    if (position >= 0) {
      this.waiting.splice(position, 1);
      return;
    }
    this.taken -= 1;
    this.fill();
  }

  private fill(): void {
    while (this.taken < this.slots && this.waiting.length > 0) {
      const next = this.waiting.shift();
      this.taken += 1;
      next?.start();
    }
  }
}
