/** Counts the connections of all listeners of a process, which share its descriptors and its memory. */
export class ConnectionPlaces {
  private open = 0;

  private readonly closers: (() => boolean)[] = [];

  constructor(private readonly maximum = Number.POSITIVE_INFINITY) {}

  /**
   * Registers a listener that closes its least used connection when there are too many.
   *
   * @param close closes a connection and releases its place; returns false if the listener has none that it may close
   */
  register(close: () => boolean): void {
    this.closers.push(close);
  }

  /**
   * Takes a place; returns false if there is none, and no connection that may be closed.
   *
   * @example
   * new ConnectionPlaces(0).tryTake(); // false
   */
  tryTake(): boolean {
    if (this.open >= this.maximum && !this.closers.some((close) => close())) {
      return false;
    }
    this.open += 1;
    return true;
  }

  release(): void {
    this.open -= 1;
  }
}
