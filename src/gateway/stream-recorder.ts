import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';

/** Dependencies of the recorder. */
export interface StreamRecorderPorts {
  readonly plane: Pick<control.ControlPlane, 'propose'>;
  readonly time: clock.Clock;
}

/**
 * Records in the replicated log which software versions have begun streams. Streams that are added together share an entry
 * of the log. A batch without an answer is sent again, as a stream that is recorded twice does no harm.
 */
export class StreamRecorder {
  /** Software versions by stream key, in the order in which the streams were added. */
  private readonly waiting = new Map<string, string>();

  private timer: clock.Timer | undefined;

  private isRecording = false;

  private isClosed = false;

  constructor(
    private readonly ports: StreamRecorderPorts,
    private readonly onRecorded: (keys: readonly string[]) => void = () => {},
  ) {}

  /**
   * Adds a stream, which is recorded after the given time together with others.
   *
   * @example
   * recorder.add('Zm9v', 'v1', 25);
   */
  add(key: string, softwareVersion: string, milliseconds: number): void {
    if (this.waiting.size >= MAXIMUM_WAITING) {
      this.waiting.delete(this.waiting.keys().next().value!);
    }
    this.waiting.set(key, softwareVersion);
    this.schedule(milliseconds);
  }

  /** Drops a stream that no caller can take up any more. */
  forget(key: string): void {
    this.waiting.delete(key);
  }

  close(): void {
    this.isClosed = true;
    this.timer?.cancel();
  }

  private schedule(milliseconds: number): void {
    if (this.timer === undefined && !this.isRecording && !this.isClosed) {
      this.timer = this.ports.time.setTimer(milliseconds, () => {
        this.timer = undefined;
        this.record();
      });
    }
  }

  private async record(): Promise<void> {
    this.isRecording = true;
    const batch = [...this.waiting].slice(0, MAXIMUM_BATCH);
    const kind = control.CommandKind.RecordStreams;
    const command = { kind, begun: groupByVersion(batch) } as const;
    const result = await this.ports.plane.propose(command, RECORD_MILLISECONDS);
    this.isRecording = false;
    if (result.ok) {
      batch.forEach(([key]) => this.waiting.delete(key));
      this.onRecorded(batch.map(([key]) => key));
    } else {
      logger.warning('streams could not be recorded; they are sent again', {
        streams: batch.length,
        reason: result.val,
      });
    }
    if (this.waiting.size > 0) {
      this.schedule(result.ok ? NEXT_BATCH_MILLISECONDS : RETRY_MILLISECONDS);
    }
  }
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

/** A leader is elected in about 1 s. */
const RECORD_MILLISECONDS = 1_500;

const NEXT_BATCH_MILLISECONDS = 25;

const RETRY_MILLISECONDS = 250;
