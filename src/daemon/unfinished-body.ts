import type * as http from 'node:http';
import type * as memory from '../memory';

/** A body that is being read. */
export class UnfinishedBody {
  private counted = 0;

  isOver = false;

  private smallChunks = 0;

  constructor(
    private readonly payload: http.IncomingMessage,
    private readonly bytes: memory.SegmentedBytes,
    private readonly onFailure: (error: Error) => void,
  ) {}

  get size(): number {
    return this.bytes.size;
  }

  /** The memory of the body, and of its small chunks up to a limit. */
  get heldBytes(): number {
    return this.bytes.capacity + Math.min(this.smallChunks * CHUNK_BYTES, MAXIMUM_CHUNKS_BYTES);
  }

  /** Bytes that the account counts for this body. */
  get countedBytes(): number {
    return this.counted;
  }

  /** Records that the account counts all that the body holds. */
  markCounted(): void {
    this.counted = this.heldBytes;
  }

  add(part: Buffer): void {
    this.smallChunks += part.length < SMALL_BYTES ? 1 : 0;
    this.bytes.add(part);
  }

  take(): Buffer {
    this.isOver = true;
    return this.bytes.take();
  }

  /** What still arrives is discarded until the connection is closed behind the answer. */
  fail(error: Error): void {
    if (!this.isOver) {
      this.drop();
      this.onFailure(error);
    }
  }

  /** Frees the body; what still arrives is discarded. */
  drop(): void {
    this.isOver = true;
    this.bytes.clear();
    this.payload.removeAllListeners('data');
    this.payload.resume();
  }
}

/** Larger chunks cost little beside their bytes. */
const SMALL_BYTES = 1_024;

/** A chunk costs processor time and garbage, however small it is. */
const CHUNK_BYTES = 256;

const MAXIMUM_CHUNKS_BYTES = 4 * 1_024 * 1_024;
