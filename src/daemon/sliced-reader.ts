import type * as net from 'node:net';

/**
 * Gives what is read from a connection to its HTTP parser in small slices, so that it can stop in the middle of a read. One read
 * may otherwise become hundreds of requests, or thousands of chunks of a body, before the connection can be paused.
 */
export class SlicedReader {
  private pending: Buffer = EMPTY;

  private isFeeding = false;

  private isOver = false;

  private readonly parse: (part: Buffer) => void;

  /**
   * Takes the place of the parser as the listener of the connection; call it when Node.js has added its own.
   *
   * @param isHeld whether nothing more may be parsed for now
   * @param onPending called when bytes stay behind that may not be parsed
   */
  constructor(
    private readonly socket: net.Socket,
    private readonly isHeld: () => boolean,
    private readonly onPending: () => void,
  ) {
    const [parse] = socket.listeners('data') as ((part: Buffer) => void)[];
    this.parse = parse.bind(socket);
    socket.removeListener('data', parse);
    socket.on('data', (part: Buffer) => this.receive(part));
    socket.on('resume', () => this.feed());
  }

  /** Bytes that are read and not parsed. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Goes on with what has been read, and then with the connection. */
  resume(): void {
    // Node.js itself resumes a connection that it has paused, when its answers are read.
    const { _paused: isPausedByNode } = this.socket as { readonly _paused?: boolean };
    if (!this.isHeld() && !this.socket.destroyed && isPausedByNode !== true) {
      this.socket.resume();
    }
  }

  /** Drops what is not parsed, and whatever still arrives. */
  discard(): void {
    this.isOver = true;
    this.pending = EMPTY;
    this.socket.resume();
  }

  private receive(part: Buffer): void {
    if (!this.isOver) {
      this.pending = this.pending.length === 0 ? part : Buffer.concat([this.pending, part]);
      this.feed();
    }
  }

  private get canParse(): boolean {
    const { socket, pending } = this;
    return pending.length > 0 && !this.isHeld() && !socket.isPaused() && !socket.destroyed;
  }

  private feed(): void {
    if (this.isFeeding || this.isOver) {
      return;
    }
    this.isFeeding = true;
    while (this.canParse) {
      const slice = this.pending.subarray(0, SLICE_BYTES);
      this.pending = this.pending.subarray(slice.length);
      this.parse(slice);
    }
    this.isFeeding = false;
    if (this.isHeld() && !this.isOver && !this.socket.destroyed) {
      this.socket.pause();
      this.onPending();
    }
  }
}

const EMPTY = Buffer.alloc(0);

/** At most some fifty of the shortest requests, or two hundred chunks of one byte. */
const SLICE_BYTES = 1_024;
