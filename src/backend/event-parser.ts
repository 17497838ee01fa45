/** One event of a `text/event-stream` body. */
export interface ServerSentEvent {
  /** `message` unless the stream names another. */
  readonly name: string;
  readonly id: string | undefined;
  readonly data: string;
}

/**
 * Incremental parser of `text/event-stream`. Unlike browsers it does not carry an id over to the next
 * event, so that a missing id is noticed.
 */
export class EventParser {
  private readonly decoder = new TextDecoder('utf-8', { fatal: true });

  private rest = '';

  private name = '';

  private id: string | undefined;

  private data: string[] = [];

  private size = 0;

  constructor(private readonly maximumEventBytes: number) {}

  /**
   * Takes the next bytes and returns the events they complete.
   *
   * @example
   * new EventParser(1_024).push(Buffer.from('id: 0\ndata: {}\n\n')); // one event
   *
   * @throws RangeError when an event is larger than the limit; TypeError when the text is not UTF-8.
   */
  push(chunk: Uint8Array): ServerSentEvent[] {
    const lines = (this.rest + this.decoder.decode(chunk, { stream: true })).split('\n');
    this.rest = lines.pop() ?? '';
    const events = lines.flatMap((line) =>
      this.line(line.endsWith('\r') ? line.slice(0, -1) : line),
    );
    this.checkSize(this.rest.length);
    return events;
  }

  private line(line: string): ServerSentEvent[] {
    if (line === '') {
      return this.dispatch();
    }
    const colon = line.indexOf(':');
    const field = colon < 0 ? line : line.slice(0, colon);
    const value = colon < 0 ? '' : line.slice(colon + 1).replace(/^ /, '');
    this.setField(field, value);
    return [];
  }

  private setField(field: string, value: string): void {
    if (field === 'data') {
      this.size += value.length;
      this.checkSize(0);
      this.data.push(value);
    } else if (field === 'id') {
      this.id = value;
    } else if (field === 'event') {
      this.name = value;
    }
  }

  private dispatch(): ServerSentEvent[] {
    const { id, data } = this;
    const name = this.name === '' ? 'message' : this.name;
    this.name = '';
    this.id = undefined;
    this.data = [];
    this.size = 0;
    return data.length === 0 ? [] : [{ name, id, data: data.join('\n') }];
  }

  private checkSize(unfinished: number): void {
    if (this.size + unfinished > this.maximumEventBytes) {
      throw new RangeError('event is too large');
    }
  }
}
