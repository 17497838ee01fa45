import type * as results from 'ts-results';
import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';

/** Dependencies of the recorder. */
export interface StreamRecorderPorts {
  readonly plane: Pick<control.ControlPlane, 'propose'>;
  readonly time: clock.Clock;
}

/**
 * Records in the replicated log which software versions have begun streams. A stream is recorded at once if none was lately;
 * those that follow soon share an entry of the log. A batch does not wait for the answer to the one before, as its streams
 * are unknown to other gateways until then. A batch without an answer is sent again: a stream that is recorded twice does no
 * harm.
 */
export class StreamRecorder {
  /** Software versions by stream key, in the order in which the streams were added; also of those that have been sent. */
  private readonly waiting = new Map<string, string>();

  /** Those of the batches without an answer. */
  private readonly sent = new Map<string, string>();

  private timer: clock.Timer | undefined;

  /** Number of batches without an answer. */
  private openBatches = 0;

  /** Monotonic time in milliseconds at which the last batch was sent. */
  private lastSentAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time in milliseconds before which no batch is sent, since one was not accepted. */
  private retryAt = Number.NEGATIVE_INFINITY;

  private isClosed = false;

  constructor(
    private readonly ports: StreamRecorderPorts,
    private readonly onRecorded: (keys: readonly string[]) => void = () => {},
  ) {}

  /**
   * Adds a stream, which is recorded with the next batch, but no sooner than the given time after the batch before.
   *
   * @example
   * recorder.add('Zm9v', 'v1', 50);
   */
  add(key: string, softwareVersion: string, spacingMilliseconds: number): void {
    if (this.waiting.size >= MAXIMUM_WAITING) {
      this.waiting.delete(this.waiting.keys().next().value!);
    }
    this.waiting.set(key, softwareVersion);
    this.schedule(this.lastSentAt + spacingMilliseconds);
  }

  /** Drops a stream that no caller can take up any more. */
  forget(key: string): void {
    this.waiting.delete(key);
  }

  close(): void {
    this.isClosed = true;
    this.timer?.cancel();
  }

  private schedule(earliest: number): void {
    if (this.timer === undefined && this.openBatches < MAXIMUM_OPEN_BATCHES && !this.isClosed) {
      const milliseconds = Math.max(earliest, this.retryAt) - this.ports.time.monotonic();
      this.timer = this.ports.time.setTimer(Math.max(0, milliseconds), () => {
        this.timer = undefined;
        this.record();
      });
    }
  }

  private unsent(): readonly (readonly [string, string])[] {
    return [...this.waiting].filter(([key, version]) => this.sent.get(key) !== version);
  }

  private async record(): Promise<void> {
    const unsent = this.unsent();
    const batch = unsent.slice(0, MAXIMUM_BATCH);
    if (batch.length === 0) {
      return;
    }
    this.openBatches += 1;
    this.lastSentAt = this.ports.time.monotonic();
    batch.forEach(([key, version]) => this.sent.set(key, version));
    if (unsent.length > batch.length) {
      this.schedule(this.lastSentAt + NEXT_BATCH_MILLISECONDS);
    }
    const kind = control.CommandKind.RecordStreams;
    const command = { kind, begun: groupByVersion(batch) } as const;
    const result = await this.ports.plane.propose(command, RECORD_MILLISECONDS);
    this.openBatches -= 1;
    this.settle(batch, result);
    if (this.unsent().length > 0) {
      this.schedule(this.lastSentAt + NEXT_BATCH_MILLISECONDS);
    }
  }

  private settle(
    batch: readonly (readonly [string, string])[],
    result: results.Result<unknown, control.ProposalFailure>,
  ): void {
    // Meanwhile a caller may have begun a stream of another version under the same id.
    remove(this.sent, batch);
    if (result.ok) {
      remove(this.waiting, batch);
      this.onRecorded(batch.map(([key]) => key));
      return;
    }
    this.retryAt = this.ports.time.monotonic() + RETRY_MILLISECONDS;
    logger.warning('streams could not be recorded; they are sent again', {
      streams: batch.length,
      reason: result.val,
    });
  }
}

/** Removes the streams that still have the same version. */
function remove(
  versions: Map<string, string>,
  streams: readonly (readonly [string, string])[],
): void {
  streams.forEach(([key, version]) => {
    if (versions.get(key) === version) {
      versions.delete(key);
    }
  });
}

/**
 * Streams by their software versions.
 *
 * @example
 * groupByVersion([['Zm9v', 'v1'], ['YmFy', 'v1']]); // [{ softwareVersion: 'v1', keys: ['Zm9v', 'YmFy'] }]
 */
export function groupByVersion(
  streams: readonly (readonly [string, string])[],
): readonly control.BegunStreams[] {
  const keysByVersion = new Map<string, string[]>();
  streams.forEach(([key, softwareVersion]) => {
    const keys = keysByVersion.get(softwareVersion) ?? [];
    keys.push(key);
    keysByVersion.set(softwareVersion, keys);
  });
  return [...keysByVersion].map(([softwareVersion, keys]) => ({ softwareVersion, keys }));
}

const logger = new logging.Logger('streams');

const MAXIMUM_BATCH = 1_000;

/** As many as the log keeps of the streams of some seconds at the size designed for. */
const MAXIMUM_WAITING = 20_000;

/** A batch is sent each 25 ms at most and answered in about 75 ms; without a leader no more messages wait. */
const MAXIMUM_OPEN_BATCHES = 4;

/** A leader is elected in about 1 s. */
const RECORD_MILLISECONDS = 1_500;

const NEXT_BATCH_MILLISECONDS = 25;

const RETRY_MILLISECONDS = 250;
