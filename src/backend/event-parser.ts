import * as byteCollector from './byte-collector';

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

  private readonly rest: byteCollector.ByteCollector;

  private name = '';

  private id: string | undefined;

  private data: string[] = [];

  /** Bytes since the last event. */
  private size = 0;

  private signs = 0;

  constructor(private readonly maximumEventBytes: number) {
    this.rest = new byteCollector.ByteCollector(maximumEventBytes);
  }

  /** Whole comments and events so far; parts of them, blank lines and fields alone are none. */
  get commentAndEventCount(): number {
    return this.signs;
  }

  /**
   * Takes the next bytes and returns the events they complete.
   *
   * @example
   * new EventParser(1_024).push(Buffer.from('id: 0\ndata: {}\n\n')); // one event
   *
   * @throws RangeError when more bytes than the limit bring no event; TypeError when the text is not UTF-8.
   */
  push(chunk: Buffer): ServerSentEvent[] {
    const events: ServerSentEvent[] = [];
    let left = chunk;
    for (let feed = left.indexOf(LINE_FEED); feed >= 0; feed = left.indexOf(LINE_FEED)) {
      events.push(...this.line(this.wholeLine(left.subarray(0, feed))));
      left = left.subarray(feed + 1);
    }
    this.count(left.length);
    this.rest.add(left);
    return events;
  }

  private wholeLine(end: Buffer): string {
    this.count(end.length + 1);
    if (this.rest.size === 0) {
      return this.decoder.decode(end);
    }
    this.rest.add(end);
    return this.decoder.decode(this.rest.take());
  }

  private line(ended: string): ServerSentEvent[] {
    const line = ended.endsWith('\r') ? ended.slice(0, -1) : ended;
    if (line === '') {
      return this.dispatch();
    }
    const colon = line.indexOf(':');
    this.signs += colon === 0 ? 1 : 0;
    const field = colon < 0 ? line : line.slice(0, colon);
    const value = colon < 0 ? '' : line.slice(colon + 1).replace(/^ /, '');
    this.setField(field, value);
    return [];
  }

  private setField(field: string, value: string): void {
    if (field === 'data') {
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
    if (data.length === 0) {
      return [];
    }
    this.size = 0;
    this.signs += 1;
    return [{ name, id, data: data.join('\n') }];
  }

  private count(bytes: number): void {
    this.size += bytes;
    if (this.size > this.maximumEventBytes) {
      throw new RangeError('event is too large');
    }
  }
}

const LINE_FEED = 10;
