/** A queue between one producer and one consumer, which waits for the next item. */
export class PieceQueue<Item> {
  private readonly items: Item[] = [];

  private resolveNext: ((item: Item | undefined) => void) | undefined;

  private ended = false;

  /** Adds an item; does nothing after the end. */
  push(item: Item): void {
    if (this.ended) {
      return;
    }
    if (this.resolveNext !== undefined) {
      const deliver = this.resolveNext;
      this.resolveNext = undefined;
      deliver(item);
      return;
    }
    this.items.push(item);
  }

  /** Ends the queue; the consumer still receives the queued items. */
  end(): void {
    this.ended = true;
    this.resolveNext?.(undefined);
    this.resolveNext = undefined;
  }

  /** Ends the queue and drops the queued items. */
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
      this.resolveNext = resolve;
    });
  }
}
