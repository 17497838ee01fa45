import * as memory from '../memory';

/** Kinds of buffered answer bytes. */
export enum BufferKind {
  /** Small answers, until their callers have read them. */
  Answer = 'answer',
  /** Incomplete events, and comments that wait for the first event. */
  Event = 'event',
}

/**
 * Limits the bytes of answers that all requests of a daemon buffer together. Whole answers may use only a part of the
 * budget: they can be forwarded early, whereas a stream with an incomplete event would have to be cancelled.
 */
export class BufferBudget {
  private buffered = 0;

  private answers = 0;

  constructor(
    private readonly maximumBytes: number = MAXIMUM_BUFFERED_BYTES,
    /** Account of the process, which counts these bytes too. */
    private readonly account = new memory.MemoryAccount(),
  ) {}

  get usedBytes(): number {
    return this.buffered;
  }

  /**
   * Changes the bytes that one request buffers from `before` to `after`; returns false and changes nothing if the
   * total would exceed the limit. An incomplete event of usual size is always allowed, so that a stream goes on whatever others
   * buffer.
   *
   * @example
   * new BufferBudget(1_024).resize(BufferKind.Event, 0, 2_048); // false
   */
  resize(kind: BufferKind, before: number, after: number): boolean {
    const buffered = this.buffered + after - before;
    const answers = this.answers + (kind === BufferKind.Answer ? after - before : 0);
    const isUsual = kind === BufferKind.Event && after <= USUAL_EVENT_BYTES;
    const isTooMuch =
      buffered > this.maximumBytes || answers > this.maximumBytes * MAXIMUM_ANSWER_SHARE;
    if (isTooMuch && after > before && !isUsual) {
      return false;
    }
    this.buffered = buffered;
    this.answers = answers;
    this.account.add(ACCOUNT_KINDS[kind], after - before);
    return true;
  }
}

const ACCOUNT_KINDS = {
  [BufferKind.Answer]: memory.MemoryKind.Answers,
  [BufferKind.Event]: memory.MemoryKind.Events,
};

const MAXIMUM_ANSWER_SHARE = 0.5;

/** Several times an event of a few tokens; all requests of a daemon together have 4 MB of these at most. */
const USUAL_EVENT_BYTES = 4 * 1_024;

/** A fifth of the memory of a VM with 178 MB, for a process that is not told its memory. */
const MAXIMUM_BUFFERED_BYTES = 34 * 1_024 * 1_024;
