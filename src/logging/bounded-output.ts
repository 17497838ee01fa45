import * as fs from 'node:fs';
import * as net from 'node:net';
import type * as stream from 'node:stream';

/** What an output may write. */
export interface OutputLimits {
  /** Lines in one second; errors are written beyond that. */
  readonly linesPerSecond: number;
  /** Bytes that the reader has not taken yet, above which every line is dropped. */
  readonly waitingBytes: number;
}

/**
 * Lines of a log on a stream that may have a slow reader. Lines above the limits are dropped and counted;
 * writing never waits, so that a reader that stops costs lines and no latency.
 */
export class BoundedOutput {
  private windowStart = 0;

  private lines = 0;

  private dropped = 0;

  constructor(
    private readonly target: Pick<stream.Writable, 'write' | 'writableLength'>,
    private readonly now: () => number,
    private readonly limits: OutputLimits = DEFAULT_LIMITS,
  ) {}

  /** Lines dropped since the last notice. */
  get droppedLines(): number {
    return this.dropped;
  }

  /**
   * Writes one line, or counts it as dropped.
   *
   * @param isUrgent errors are written although the lines of this second are used up
   */
  write(line: string, isUrgent: boolean): void {
    this.turnWindow();
    const isBacklogged = this.target.writableLength > this.limits.waitingBytes;
    if (isBacklogged || (this.lines >= this.limits.linesPerSecond && !isUrgent)) {
      this.dropped += 1;
      return;
    }
    this.lines += 1;
    this.target.write(`${line}\n`);
  }

  /** A new second begins with a notice of what the one before dropped. */
  private turnWindow(): void {
    const now = this.now();
    if (now - this.windowStart < WINDOW_MILLISECONDS) {
      return;
    }
    this.windowStart = now;
    this.lines = 0;
    if (this.dropped > 0 && this.target.writableLength <= this.limits.waitingBytes) {
      const notice = { level: 'warning', component: 'logging', message: 'lines were dropped' };
      this.target.write(`${JSON.stringify({ ...notice, lines: this.dropped })}\n`);
      this.dropped = 0;
    }
  }
}

/**
 * Standard output as a stream that does not block the process. Node.js writes to a pipe synchronously
 * through `process.stdout`.
 */
export function standardOutput(): stream.Writable {
  const kind = fs.fstatSync(STANDARD_OUTPUT);
  const target =
    kind.isFIFO() || kind.isSocket()
      ? new net.Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true })
      : fs.createWriteStream('', { fd: STANDARD_OUTPUT, autoClose: false });
  // A reader that has gone must not end the process.
  target.on('error', () => {});
  return target;
}

const STANDARD_OUTPUT = 1;

const WINDOW_MILLISECONDS = 1_000;

/** Ten lines for each request of an entry VM at its peak; a line has about 300 bytes. */
const DEFAULT_LIMITS: OutputLimits = { linesPerSecond: 300, waitingBytes: 256 * 1_024 };
