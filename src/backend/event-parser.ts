import * as byteCollector from './byte-collector';

/** One event of a `text/event-stream` body. */
export interface ServerSentEvent {
  /** `message` unless the stream names another. */
  readonly name: string;
  readonly id: string | undefined;
  readonly data: string;
}

/**
 * Incremental parser of `text/event-stream`. Unlike browsers it does not apply an id to the following
 * events, so that a missing id is detected.
 */
export class EventParser {
  private readonly decoder = new TextDecoder('utf-8', { fatal: true });

  private readonly incompleteLine: byteCollector.ByteCollector;

  private name = '';

  private id: string | undefined;

  private data: string[] = [];

  /** Bytes since the last event. */
  private size = 0;

  private commentsAndEvents = 0;

  constructor(private readonly maximumEventBytes: number) {
    this.incompleteLine = new byteCollector.ByteCollector(maximumEventBytes);
  }

  /** Number of complete comments and events; parts of them, blank lines and single fields do not count. */
  get commentAndEventCount(): number {
    return this.commentsAndEvents;
  }

  /**
   * Parses the next bytes and returns the events that they complete.
   *
   * @example
   * new EventParser(1_024).push(Buffer.from('id: 0\ndata: {}\n\n')); // one event
   *
   * @throws RangeError when the bytes since the last event exceed the limit; TypeError when they are not UTF-8.
   */
  push(chunk: Buffer): ServerSentEvent[] {
    const events: ServerSentEvent[] = [];
    let remaining = chunk;
    for (
      let lineFeed = remaining.indexOf(LINE_FEED);
      lineFeed >= 0;
      lineFeed = remaining.indexOf(LINE_FEED)
    ) {
      events.push(...this.line(this.completeLine(remaining.subarray(0, lineFeed))));
      remaining = remaining.subarray(lineFeed + 1);
    }
    this.count(remaining.length);
    this.incompleteLine.add(remaining);
    return events;
  }

  private completeLine(end: Buffer): string {
    this.count(end.length + 1);
    if (this.incompleteLine.size === 0) {
      return this.decoder.decode(end);
    }
    this.incompleteLine.add(end);
    return this.decoder.decode(this.incompleteLine.take());
  }

  private line(text: string): ServerSentEvent[] {
    const line = text.endsWith('\r') ? text.slice(0, -1) : text;
    if (line === '') {
      return this.dispatch();
    }
    const colon = line.indexOf(':');
    this.commentsAndEvents += colon === 0 ? 1 : 0;
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
    this.commentsAndEvents += 1;
    return [{ name, id, data: data.join('\n') }];
  }

  private count(bytes: number): void {
    this.size += bytes;
    if (this.size > this.maximumEventBytes) {
      throw new RangeError('no event is complete within the size limit');
    }
  }
}

const LINE_FEED = 10;
