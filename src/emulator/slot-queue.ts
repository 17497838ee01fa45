interface QueuedEntry {
  readonly priority: number;
  readonly sequence: number;
  readonly start: () => void;
}

/** Batch slots of an engine, assigned by priority and then in order of arrival. */
export class SlotQueue {
  private waiting: QueuedEntry[] = [];

  private occupied = 0;

  private sequence = 0;

  constructor(private readonly slots: number) {}

  get running(): number {
    return this.occupied;
  }

  get queued(): number {
    return this.waiting.length;
  }

  /** Calls `start` when a slot is free; the returned function releases the slot or leaves the queue. */
  enter(priority: number, start: () => void): () => void {
    this.sequence += 1;
    const entry = { priority, sequence: this.sequence, start };
    this.waiting.push(entry);
    this.waiting.sort(
      (left, right) => right.priority - left.priority || left.sequence - right.sequence,
    );
    this.fill();
    let hasLeft = false;
    return () => {
      if (!hasLeft) {
        hasLeft = true;
        this.leave(entry);
      }
    };
  }

  private leave(entry: QueuedEntry): void {
    const position = this.waiting.indexOf(entry);
    if (position >= 0) {
      this.waiting.splice(position, 1);
      return;
    }
    this.occupied -= 1;
    this.fill();
  }

  private fill(): void {
    while (this.occupied < this.slots && this.waiting.length > 0) {
      const next = this.waiting.shift();
      this.occupied += 1;
      next?.start();
    }
  }
}
