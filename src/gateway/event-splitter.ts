/** One whole event of a stream, as its bytes arrived. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Absent for events without an id, such as comments. */
  readonly id?: number;
}

/** Cuts a stream into whole events, so that a caller never gets a part of one. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  constructor(private readonly maximumEventBytes: number) {}

  /** Bytes of an event whose end has not arrived. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /**
   * Adds bytes and returns the events that they complete. Throws when an event is too large.
   *
   * @example
   * splitter.push(Buffer.from('id: 4\ndata: sack\n\n'))[0].id; // 4
   */
  push(chunk: Buffer): StreamEvent[] {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: StreamEvent[] = [];
    for (let end = endOfEvent(this.rest); end > 0; end = endOfEvent(this.rest)) {
      const bytes = this.rest.subarray(0, end);
      events.push({ bytes, id: idOf(bytes) });
      this.rest = this.rest.subarray(end);
    }
    if (this.rest.length > this.maximumEventBytes) {
      throw new RangeError('an event of the stream is too large');
    }
    return events;
  }
}

/** The number of bytes up to and including the first blank line, or 0. */
function endOfEvent(bytes: Buffer): number {
  const plain = bytes.indexOf('\n\n');
  const windows = bytes.indexOf('\r\n\r\n');
  if (windows >= 0 && (plain < 0 || windows < plain)) {
    return windows + 4;
  }
  return plain < 0 ? 0 : plain + 2;
}

function idOf(event: Buffer): number | undefined {
  const found = /^id: ?(\d{1,15})\r?$/m.exec(event.toString('latin1'));
  return found === null ? undefined : Number(found[1]);
}
