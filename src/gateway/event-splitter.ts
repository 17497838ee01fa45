import * as backend from '../backend';

/** One whole event of a stream, as its bytes arrived. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Absent for events without an id, such as comments. */
  readonly id?: number;
  /** False for blank lines and comments, which tell nothing. */
  readonly hasFields: boolean;
}

/** Cuts a stream into whole events, so that a caller never gets a part of one. */
export class EventSplitter {
  private readonly rest: backend.ByteCollector;

  private isTooLarge = false;

  constructor(maximumEventBytes: number) {
    this.rest = new backend.ByteCollector(maximumEventBytes);
  }

  /** Bytes of an event whose end has not arrived. */
  get pendingBytes(): number {
    return this.rest.size;
  }

  /**
   * Adds bytes and returns the events that they complete. Throws when an event is too large; the events before
   * it have been returned.
   *
   * @example
   * splitter.push(Buffer.from('id: 4\ndata: sack\n\n'))[0].id; // 4
   */
  push(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let left = this.completePending(chunk, events);
    for (let end = endOfEvent(left); end > 0; end = endOfEvent(left)) {
      events.push(eventOf(left.subarray(0, end)));
      left = left.subarray(end);
    }
    this.keep(left);
    if (this.isTooLarge && events.length === 0) {
      throw new RangeError('an event of the stream is too large');
    }
    return events;
  }

  /** Looks for the end of the pending event; returns the bytes of the chunk that follow it. */
  private completePending(chunk: Buffer, events: StreamEvent[]): Buffer {
    if (this.rest.size === 0) {
      return chunk;
    }
    const end = endAcross(this.rest.view(), chunk) || endOfEvent(chunk);
    if (end === 0) {
      this.keep(chunk);
      return EMPTY;
    }
    this.keep(chunk.subarray(0, end));
    events.push(eventOf(this.rest.take()));
    return chunk.subarray(end);
  }

  private keep(bytes: Buffer): void {
    this.isTooLarge ||= !this.rest.add(bytes);
  }
}

const EMPTY = Buffer.alloc(0);

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const COLON = 58;

/** The number of bytes up to and including the first blank line, or 0. */
function endOfEvent(bytes: Buffer): number {
  let feed = bytes.indexOf(LINE_FEED);
  while (feed >= 0) {
    const blank = blankLineAt(bytes, feed + 1);
    if (blank > 0) {
      return feed + 1 + blank;
    }
    feed = bytes.indexOf(LINE_FEED, feed + 1);
  }
  return 0;
}

/** The number of bytes of a chunk that complete a blank line begun before it, or 0. */
function endAcross(pending: Buffer, chunk: Buffer): number {
  const last = pending[pending.length - 1];
  if (last === LINE_FEED) {
    return blankLineAt(chunk, 0);
  }
  const isBegun = last === CARRIAGE_RETURN && pending[pending.length - 2] === LINE_FEED;
  return isBegun && chunk[0] === LINE_FEED ? 1 : 0;
}

/** The length of the blank line that begins at a position, or 0. */
function blankLineAt(bytes: Buffer, position: number): number {
  if (bytes[position] === LINE_FEED) {
    return 1;
  }
  return bytes[position] === CARRIAGE_RETURN && bytes[position + 1] === LINE_FEED ? 2 : 0;
}

function eventOf(bytes: Buffer): StreamEvent {
  if (!hasFields(bytes)) {
    return { bytes, hasFields: false };
  }
  const found = /^id: ?(\d{1,15})\r?$/m.exec(bytes.toString('latin1'));
  return { bytes, id: found === null ? undefined : Number(found[1]), hasFields: true };
}

/** Whether any line is neither blank nor a comment. */
function hasFields(bytes: Buffer): boolean {
  for (let start = 0; start < bytes.length;) {
    const first = bytes[start];
    if (first !== COLON && first !== LINE_FEED && first !== CARRIAGE_RETURN) {
      return true;
    }
    const feed = bytes.indexOf(LINE_FEED, start);
    start = feed < 0 ? bytes.length : feed + 1;
  }
  return false;
}
