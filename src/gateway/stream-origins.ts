import * as crypto from 'node:crypto';
import * as results from 'ts-results';
import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';
import * as verdict from '../verdict';
import * as registerConfirmation from './register-confirmation';
import * as streamRecorder from './stream-recorder';
import * as streamReport from './stream-report';

/** Identifies a stream over all tries of its caller. */
export interface StreamIdentity {
  readonly service: string;
  readonly team: string;
  /** Id of the caller's attempt that brought the first event; absent if the caller does not tell it. */
  readonly firstRequestId?: string;
}

/** Dependencies of the origins. */
export interface StreamOriginPorts {
  readonly plane: Pick<control.ControlPlane, 'propose' | 'register' | 'onRegister'>;
  readonly time: clock.Clock;
  /** Software versions of a service's servers in this daemon's list, dead and leaving ones too. */
  readonly listedVersions: (service: string) => readonly string[];
}

/** The software version that may go on with a stream; without a version every server may. */
export type Origin = results.Result<string | undefined, verdict.RequestFailure>;

interface OwnStream {
  readonly service: string;
  readonly softwareVersion: string;
  readonly begunAt: number;
  /** Whether the log has a record of the stream. */
  isRecorded: boolean;
  /** Monotonic time in milliseconds at which the last event was written to the caller. */
  completeAt?: number;
}

/** How the software version of a stream was found. */
enum OriginSource {
  Own = 'own',
  OnlyVersion = 'only-version',
  Log = 'log',
}

/**
 * Knows which software version began a stream, so that a caller can take it up again at any gateway, also after all of them
 * have lost power. While only one version can have begun the recent streams of a service, it may go on with all of them; that
 * it is the only one counts once a round trip to the leader, begun after the stream was taken up, has confirmed this gateway's
 * copy of the register. With several versions each stream is recorded in the replicated log when its first event is
 * delivered, and a gateway that does not know a stream asks the leader. A stream that nobody knows does not go on.
 *
 * A gateway that stands still or is cut off when a second version comes can no longer record its streams. Streams that begin
 * while there is one version are therefore reported to the leader, which records those of all gateways together.
 */
export class StreamOrigins {
  private readonly own = new Map<string, OwnStream>();

  /** Streams that the leader is to record. */
  readonly report: streamReport.StreamReport;

  private readonly recorder: streamRecorder.StreamRecorder;

  private readonly lookups = new Map<string, ((origin: Origin) => void)[]>();

  private readonly confirmation: registerConfirmation.RegisterConfirmation;

  private lookupTimer: clock.Timer | undefined;

  private readonly unsubscribe: () => void;

  constructor(private readonly ports: StreamOriginPorts) {
    this.confirmation = new registerConfirmation.RegisterConfirmation(ports);
    this.report = new streamReport.StreamReport(ports.time);
    this.recorder = new streamRecorder.StreamRecorder(ports, (keys) => this.markRecorded(keys));
    this.unsubscribe = ports.plane.onRegister(() => this.recordMixed());
  }

  /** Remembers the version of a stream; called before its first event is delivered. */
  begin(stream: StreamIdentity, softwareVersion: string | undefined): void {
    const key = keyOf(stream);
    if (key === undefined || softwareVersion === undefined) {
      return;
    }
    const begunAt = this.ports.time.monotonic();
    const { service } = stream;
    this.forgetOld(begunAt);
    this.own.delete(key);
    this.own.set(key, { service, softwareVersion, begunAt, isRecorded: false });
    if (this.possibleVersions(service).length > 1) {
      this.recorder.add(key, softwareVersion, RECORD_SPACING_MILLISECONDS);
    } else {
      this.report.add(key, softwareVersion);
    }
  }

  /**
   * Called when all of a stream has been written to its caller. It stays known: after a suspension the rest may have been
   * written to a connection that the caller had left.
   */
  complete(stream: StreamIdentity): void {
    const key = keyOf(stream);
    const own = key === undefined ? undefined : this.own.get(key);
    if (own !== undefined) {
      own.completeAt = this.ports.time.monotonic();
    }
  }

  /** The version that may go on with a stream which a caller takes up; a failure if it cannot be told. */
  async find(stream: StreamIdentity): Promise<Origin> {
    const key = keyOf(stream);
    const own = key === undefined ? undefined : this.own.get(key);
    if (own !== undefined) {
      return foundOrigin(stream, OriginSource.Own, own.softwareVersion);
    }
    const startedAt = this.ports.time.monotonic();
    const hasSeveralVersions = this.possibleVersions(stream.service).length > 1;
    const isCertain = hasSeveralVersions || (await this.confirmation.confirm());
    const versions = this.possibleVersions(stream.service);
    if (isCertain && versions.length <= 1) {
      const milliseconds = Math.round(this.ports.time.monotonic() - startedAt);
      return foundOrigin(stream, OriginSource.OnlyVersion, versions.at(0), milliseconds);
    }
    const origin = isCertain ? await this.lookUp(key) : UNREACHABLE_ORIGIN;
    const milliseconds = Math.round(this.ports.time.monotonic() - startedAt);
    if (origin.ok) {
      return foundOrigin(stream, OriginSource.Log, origin.val, milliseconds);
    }
    logger.information('software version of a stream is not known; the stream does not go on', {
      ...stream,
      versions: versions.join(','),
      reason: origin.val.message,
      milliseconds,
    });
    return origin;
  }

  close(): void {
    this.unsubscribe();
    this.confirmation.close();
    this.recorder.close();
    this.lookupTimer?.cancel();
    this.lookups.forEach((waiting) => waiting.forEach((settle) => settle(UNREACHABLE_ORIGIN)));
    this.lookups.clear();
  }

  /** Versions that may have begun a stream which is not complete yet. */
  private possibleVersions(service: string): readonly string[] {
    const registered = this.ports.plane.register().softwareVersions.get(service) ?? [];
    return [...new Set([...registered, ...this.ports.listedVersions(service)])];
  }

  /** Records the streams of services that have got a second version since. */
  private recordMixed(): void {
    const services = new Set([...this.own.values()].map(({ service }) => service));
    const mixed = new Set([...services].filter((name) => this.possibleVersions(name).length > 1));
    const oldest = this.ports.time.monotonic() - COMPLETE_MILLISECONDS;
    this.own.forEach(({ service, softwareVersion, isRecorded, completeAt = Infinity }, key) => {
      if (!isRecorded && mixed.has(service) && completeAt >= oldest) {
        this.recorder.add(key, softwareVersion, 0);
      }
    });
  }

  private markRecorded(keys: readonly string[]): void {
    keys.forEach((key) => {
      const stream = this.own.get(key);
      if (stream !== undefined) {
        stream.isRecorded = true;
      }
    });
  }

  private lookUp(key: string | undefined): Promise<Origin> {
    if (key === undefined) {
      return Promise.resolve(new results.Err(UNKNOWN));
    }
    return new Promise((resolve) => {
      this.lookups.set(key, [...(this.lookups.get(key) ?? []), resolve]);
      this.lookupTimer ??= this.ports.time.setTimer(LOOKUP_COLLECTION_MILLISECONDS, () => {
        this.lookupTimer = undefined;
        this.askLeader();
      });
    });
  }

  /** Looks up all waiting streams together: after a failure of many gateways many streams are taken up at once. */
  private async askLeader(): Promise<void> {
    const asked = [...this.lookups].slice(0, MAXIMUM_BATCH);
    asked.forEach(([key]) => this.lookups.delete(key));
    if (this.lookups.size > 0) {
      this.lookupTimer = this.ports.time.setTimer(0, () => {
        this.lookupTimer = undefined;
        this.askLeader();
      });
    }
    const kind = control.CommandKind.FindStreams;
    const keys = asked.map(([key]) => key);
    const result = await this.ports.plane.propose({ kind, keys }, LOOKUP_MILLISECONDS);
    const origins = originsIn(result);
    asked.forEach(([key, waiting]) => waiting.forEach((settle) => settle(origins(key))));
  }

  private forgetOld(now: number): void {
    for (const [key, { begunAt }] of this.own) {
      if (now - begunAt <= RETENTION_MILLISECONDS && this.own.size < MAXIMUM_OWN_STREAMS) {
        return;
      }
      this.own.delete(key);
      this.recorder.forget(key);
    }
  }
}

function foundOrigin(
  stream: StreamIdentity,
  source: OriginSource,
  softwareVersion: string | undefined,
  milliseconds = 0,
): Origin {
  logger.information('stream is taken up', { ...stream, softwareVersion, source, milliseconds });
  return new results.Ok(softwareVersion);
}

function originsIn(
  result: results.Result<control.CommandResult, control.ProposalFailure>,
): (key: string) => Origin {
  if (result.err || result.val.kind !== control.CommandResultKind.StreamsFound) {
    return () => UNREACHABLE_ORIGIN;
  }
  const versions = new Map(
    result.val.begun.flatMap(({ softwareVersion, keys }) =>
      keys.map((key) => [key, softwareVersion]),
    ),
  );
  return (key) => {
    const version = versions.get(key);
    return version === undefined ? new results.Err(UNKNOWN) : new results.Ok(version);
  };
}

/** A short hash, since callers choose ids of any length; other teams and services do not share it. */
function keyOf({ service, team, firstRequestId }: StreamIdentity): string | undefined {
  return firstRequestId === undefined
    ? undefined
    : crypto
        .createHash('sha1')
        .update(JSON.stringify([service, team, firstRequestId]))
        .digest('base64')
        .slice(0, KEY_CHARACTERS);
}

const logger = new logging.Logger('streams');

/** 72 bits: no two of the streams of a minute have the same key. */
const KEY_CHARACTERS = 12;

/** As long as the log keeps records. */
const RETENTION_MILLISECONDS = 60_000;

/** Callers notice sooner that the connection to a gateway has broken. */
const COMPLETE_MILLISECONDS = 10_000;

/** Far above the streams of one daemon in that time. */
const MAXIMUM_OWN_STREAMS = 20_000;

/** Bounds the entries of the log while streams begin fast; few are lost with a daemon before they are recorded. */
const RECORD_SPACING_MILLISECONDS = 50;

const LOOKUP_COLLECTION_MILLISECONDS = 5;

const MAXIMUM_BATCH = 1_000;

/** A caller whose stream cannot be told in this time comes back sooner than it would be served here. */
const LOOKUP_MILLISECONDS = 1_200;

const { FailureReason, Verdict } = verdict;

const UNKNOWN = verdict.failure(
  FailureReason.StreamOriginUnknown,
  Verdict.NotRun,
  'The software version that began this stream is not known; begin the stream anew.',
  { retryAfterMilliseconds: 5_000 },
);

const UNREACHABLE_ORIGIN: Origin = new results.Err(
  verdict.failure(
    FailureReason.StreamOriginUnknown,
    Verdict.NotRun,
    'The software version that began this stream cannot be looked up now.',
    { retryAfterMilliseconds: 300 },
  ),
);
