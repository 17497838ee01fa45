import * as clock from '../clock';
import type * as control from '../control';
import * as streamRecorder from './stream-recorder';

interface ReportedStream {
  readonly softwareVersion: string;
  readonly begunAt: number;
  isSent: boolean;
}

/**
 * The streams that this daemon has begun while their services had one software version. They are added to its messages to the
 * control leader, which records them for the case that this daemon stands still or is cut off when a second version comes.
 */
export class StreamReport {
  /** By key, the oldest first. */
  private readonly streams = new Map<string, ReportedStream>();

  constructor(private readonly time: clock.Clock) {}

  add(key: string, softwareVersion: string): void {
    this.removeOld();
    const begunAt = this.time.monotonic();
    this.streams.delete(key);
    this.streams.set(key, { softwareVersion, begunAt, isSent: false });
  }

  /** The streams for the next message. */
  unsent(): readonly control.BegunStreams[] {
    this.removeOld();
    const unsent = [...this.streams].filter(([, { isSent }]) => !isSent).slice(0, MAXIMUM_BATCH);
    return streamRecorder.groupByVersion(
      unsent.map(([key, { softwareVersion }]) => [key, softwareVersion]),
    );
  }

  /** Called when a message with these streams was sent. */
  markSent(begun: readonly control.BegunStreams[]): void {
    begun.forEach(({ keys }) =>
      keys.forEach((key) => {
        const stream = this.streams.get(key);
        if (stream !== undefined) {
          stream.isSent = true;
        }
      }),
    );
  }

  /** Sends all recent streams again: a leader that has failed may not have recorded what it was told. */
  repeat(): void {
    this.streams.forEach((stream) => Object.assign(stream, { isSent: false }));
  }

  private removeOld(): void {
    const oldest = this.time.monotonic() - RECENT_MILLISECONDS;
    for (const [key, { begunAt }] of this.streams) {
      if (begunAt >= oldest && this.streams.size < MAXIMUM_STREAMS) {
        return;
      }
      this.streams.delete(key);
    }
  }
}

/** A leader is elected, and has recorded what it was told, well within this time. */
const RECENT_MILLISECONDS = 15_000;

/** Far above the streams of one daemon in that time. */
const MAXIMUM_STREAMS = 5_000;

/** With 15 bytes a stream a message stays below 4 KB. */
const MAXIMUM_BATCH = 256;
