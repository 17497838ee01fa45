import * as backend from '../backend';

/** One complete event of a stream, with its unchanged bytes. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Absent for events without an id, such as comments. */
  readonly id?: number;
  /** False for blank lines and comments, which carry no data. */
  readonly hasFields: boolean;
  /** Set if a line of it begins another HTTP answer, which a faulty server has written behind a stream without a length. */
  readonly isAnswerHead?: true;
}

/** Splits a stream into complete events, so that a caller never gets a partial one. */
export class EventSplitter {
  private readonly pending: backend.ByteCollector;

  private isTooLarge = false;

  constructor(maximumEventBytes: number) {
    this.pending = new backend.ByteCollector(maximumEventBytes);
  }

  /** Number of buffered bytes of an event whose end has not arrived. */
  get pendingBytes(): number {
    return this.pending.size;
  }

  /**
   * Adds bytes and returns the events that they complete. Throws a `RangeError` if an event is too large; the events
   * before it are returned first.
   *
   * @example
   * splitter.push(Buffer.from('id: 4\ndata: sack\n\n'))[0].id; // 4
   */
  push(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let remaining = this.completePending(chunk, events);
    for (let end = endOfEvent(remaining); end > 0; end = endOfEvent(remaining)) {
      events.push(eventOf(remaining.subarray(0, end)));
      remaining = remaining.subarray(end);
    }
    this.buffer(remaining);
    if (this.isTooLarge && events.length === 0) {
      throw new RangeError('an event of the stream is too large');
    }
    return events;
  }

  /** Looks for the end of the pending event; returns the bytes of the chunk that follow it. */
  private completePending(chunk: Buffer, events: StreamEvent[]): Buffer {
    if (this.pending.size === 0) {
      return chunk;
    }
    const end = endAcrossChunks(this.pending.view(), chunk) || endOfEvent(chunk);
    if (end === 0) {
      this.buffer(chunk);
      return EMPTY;
    }
    this.buffer(chunk.subarray(0, end));
    events.push(eventOf(this.pending.take()));
    return chunk.subarray(end);
  }

  private buffer(bytes: Buffer): void {
    this.isTooLarge ||= !this.pending.add(bytes);
  }
}

const EMPTY = Buffer.alloc(0);

/** A status line; no field of an event has such a name. */
const ANSWER_HEAD = /^HTTP\/1\.[01] \d{3}/m;

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const COLON = 58;

/** The number of bytes up to and including the first blank line, or 0. */
function endOfEvent(bytes: Buffer): number {
  let lineFeed = bytes.indexOf(LINE_FEED);
  while (lineFeed >= 0) {
    const blankLength = blankLineAt(bytes, lineFeed + 1);
    if (blankLength > 0) {
      return lineFeed + 1 + blankLength;
    }
    lineFeed = bytes.indexOf(LINE_FEED, lineFeed + 1);
  }
  return 0;
}

/** The number of bytes of a chunk that complete a blank line begun before it, or 0. */
function endAcrossChunks(pending: Buffer, chunk: Buffer): number {
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
  const text = bytes.toString('latin1');
  const found = /^id: ?(\d{1,15})\r?$/m.exec(text);
  return {
    bytes,
    id: found === null ? undefined : Number(found[1]),
    hasFields: true,
    ...(ANSWER_HEAD.test(text) ? { isAnswerHead: true } : {}),
  };
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
