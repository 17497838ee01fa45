/** A queue between one producer and one consumer, which waits for the next item. */
export class PieceQueue<Item> {
  private readonly items: Item[] = [];

  private waiting: ((item: Item | undefined) => void) | undefined;

  private ended = false;

  /** Adds an item; does nothing after the end. */
  push(item: Item): void {
    if (this.ended) {
      return;
    }
    if (this.waiting !== undefined) {
      const deliver = this.waiting;
      this.waiting = undefined;
      deliver(item);
      return;
    }
    this.items.push(item);
  }

  /** Lets the consumer finish once it has taken what is queued. */
  end(): void {
    this.ended = true;
    this.waiting?.(undefined);
    this.waiting = undefined;
  }

  /** Ends the queue and drops what is queued. */
  clear(): void {
    this.items.length = 0;
    this.end();
  }

  /** The next item, or `undefined` after the end. */
  next(): Promise<Item | undefined> {
    if (this.items.length > 0) {
      return Promise.resolve(this.items.shift());
    }
    if (this.ended) {
      return Promise.resolve(undefined);
    }
    return new Promise((resolve) => {
      this.waiting = resolve;
    });
  }
}
