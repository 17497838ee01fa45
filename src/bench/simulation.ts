interface ScheduledEvent {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Virtual time: runs callbacks in the order of their times, and of scheduling among equal times. */
export class Simulation {
  now = 0;

  private sequence = 0;

  private readonly heap: ScheduledEvent[] = [];

  /** Runs a callback after a delay in milliseconds. */
  after(delayMilliseconds: number, run: () => void): void {
    this.sequence += 1;
    this.push({ at: this.now + delayMilliseconds, sequence: this.sequence, run });
  }

  /** Runs until nothing is scheduled before `end`. */
  runUntil(end: number): void {
    while (this.heap.length > 0 && this.heap[0].at <= end) {
      const next = this.pop();
      this.now = next.at;
      next.run();
    }
    this.now = end;
  }

  private push(event: ScheduledEvent): void {
    let position = this.heap.length;
    this.heap.push(event);
    while (position > 0) {
      const parent = Math.floor((position - 1) / 2);
      if (!isBefore(event, this.heap[parent])) {
        break;
      }
      this.heap[position] = this.heap[parent];
      position = parent;
    }
    this.heap[position] = event;
  }

  private pop(): ScheduledEvent {
    const [first] = this.heap;
    const last = this.heap.pop()!;
    if (this.heap.length > 0) {
      this.sink(last);
    }
    return first;
  }

  private sink(event: ScheduledEvent): void {
    let position = 0;
    for (;;) {
      let child = position * 2 + 1;
      if (child >= this.heap.length) {
        break;
      }
      if (child + 1 < this.heap.length && isBefore(this.heap[child + 1], this.heap[child])) {
        child += 1;
      }
      if (!isBefore(this.heap[child], event)) {
        break;
      }
      this.heap[position] = this.heap[child];
      position = child;
    }
    this.heap[position] = event;
  }
}

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}
