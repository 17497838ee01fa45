import * as fs from 'node:fs';
import * as net from 'node:net';
import type * as stream from 'node:stream';
import type * as clock from '../clock';

/** The part of a stream that an output uses. */
export interface OutputTarget {
  readonly writableLength: number;
  /** Calls `onWritten` once the text has left the process, or with an error if it cannot. */
  write(text: string, onWritten?: (error?: Error | null) => void): boolean;
}

/** Limits of an output. */
export interface OutputLimits {
  /** Lines per second; errors are written even above this limit. */
  readonly linesPerSecond: number;
  /** Bytes in the stream's buffer above which every line is dropped. */
  readonly waitingBytes: number;
}

/**
 * Writes log lines to a stream that may have a slow reader. Lines above the limits are dropped and counted.
 * Writing never blocks, so that a stalled reader causes dropped lines but no latency.
 */
export class BoundedOutput {
  private windowStart = 0;

  private lines = 0;

  private dropped = 0;

  constructor(
    private readonly target: OutputTarget,
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
   * @param isUrgent true for errors, which are written even above the limit of lines per second
   */
  write(line: string, isUrgent: boolean): void {
    this.startWindowWhenDue();
    const isBacklogged = this.target.writableLength > this.limits.waitingBytes;
    if (isBacklogged || (this.lines >= this.limits.linesPerSecond && !isUrgent)) {
      this.dropped += 1;
      return;
    }
    this.lines += 1;
    this.target.write(`${line}\n`);
  }

  /**
   * Resolves to true once all lines have left the process, or to false if they cannot, or not in time. The stream writes
   * asynchronously, so that a process which exits earlier loses its last lines.
   *
   * @example
   * await output.flush(200, time);
   * process.exit(0);
   */
  flush(timeoutMilliseconds: number, time: clock.Clock): Promise<boolean> {
    this.reportDropped();
    return new Promise((resolve) => {
      const timer = time.setTimer(timeoutMilliseconds, () => resolve(false));
      this.target.write('', (error) => {
        timer.cancel();
        resolve(error === undefined || error === null);
      });
    });
  }

  /** Starts a new window after a second, with a notice when lines were dropped. */
  private startWindowWhenDue(): void {
    const now = this.now();
    if (now - this.windowStart < WINDOW_MILLISECONDS) {
      return;
    }
    this.windowStart = now;
    this.lines = 0;
    this.reportDropped();
  }

  private reportDropped(): void {
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
  // A reader that closes the stream must not end the process.
  target.on('error', () => {});
  return target;
}

const STANDARD_OUTPUT = 1;

const WINDOW_MILLISECONDS = 1_000;

/** Ten lines for each request of an entry VM at peak load; a line has about 300 bytes. */
const DEFAULT_LIMITS: OutputLimits = { linesPerSecond: 300, waitingBytes: 256 * 1_024 };
