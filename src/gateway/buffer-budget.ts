/** What a daemon holds of answers. */
export enum BufferKind {
  /** Small answers, until their callers have read them. */
  Answer = 'answer',
  /** Parts of events, and comments that wait for the first event. */
  Event = 'event',
}

/**
 * Bounds what all requests together hold of answers. One daemon has one of these. Answers use a part of it only:
 * they can be passed on early, while a stream whose event is not finished would have to be given up.
 */
export class BufferBudget {
  private held = 0;

  private answers = 0;

  constructor(private readonly maximumBytes: number = MAXIMUM_HELD_BYTES) {}

  get usedBytes(): number {
    return this.held;
  }

  /**
   * Replaces what one request holds; false, and nothing changes, when all would hold too much.
   *
   * @example
   * new HeldBytes(1_024).change(HeldKind.Event, 0, 2_048); // false
   */
  resize(kind: BufferKind, before: number, after: number): boolean {
    const held = this.held + after - before;
    const answers = this.answers + (kind === BufferKind.Answer ? after - before : 0);
    const isTooMuch =
      held > this.maximumBytes || answers > this.maximumBytes * MAXIMUM_ANSWER_SHARE;
    if (isTooMuch && after > before) {
      return false;
    }
    this.held = held;
    this.answers = answers;
    return true;
  }
}

const MAXIMUM_ANSWER_SHARE = 0.5;

/** A fifth of the memory of the smallest entry VM, which has 178 MB. */
const MAXIMUM_HELD_BYTES = 34 * 1_024 * 1_024;
