import type * as http from 'node:http';
import * as backend from '../backend';
import * as clock from '../clock';
import * as decision from '../decision';
import * as logging from '../logging';
import * as membership from '../membership';
import * as routing from '../routing';
import * as verdict from '../verdict';
import * as answerReceiver from './answer-receiver';
import type * as relayContext from './relay-context';
import type * as relayReply from './relay-reply';

/** A request after admission to the gateway. */
export interface RelayCall {
  readonly profile: decision.RequestProfile;
  /** As the caller sent it; the profile has an id of the router. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Uint8Array;
  readonly team?: string;
  /** Text that keeps cached parts of other models and isolated teams apart; absent without a prompt. */
  readonly cacheNamespace?: string;
  /** Monotonic time at which the caller gives up or the route's timeout ends. */
  readonly deadline: number;
  /** Last event that the caller received before it sent the request again. */
  readonly lastEventId?: number;
}

/** One request whose content passes unchanged between its caller and the servers that the core chose. */
export class RelayExecution extends routing.AttemptExecution {
  private readonly delivered: answerReceiver.DeliveryProgress;

  private readonly timer: clock.Timer;

  constructor(
    private readonly call: RelayCall,
    protected override readonly context: relayContext.RelayContext,
    private readonly reply: relayReply.RelayReply,
  ) {
    super(call.profile, context);
    this.loggedId = call.requestId;
    this.delivered = { events: 0, lastEventId: call.lastEventId };
    const left = Math.max(0, call.deadline - context.time.monotonic());
    this.timer = context.time.setTimer(left, () => this.expire());
  }

  override fail(failure: verdict.RequestFailure): void {
    if (!this.isOver) {
      this.end();
      this.meter.failed(failure);
      this.reply.fail(failure);
    }
  }

  /** The caller has gone: stops every attempt and tells the core. */
  cancel(): void {
    if (!this.isOver) {
      this.abandon();
    }
  }

  protected override end(): void {
    super.end();
    this.timer.cancel();
  }

  protected override async runAttempt(
    effect: decision.Dispatch,
    signal: AbortSignal,
  ): Promise<void> {
    const lease = this.context.pool.relay(effect.serverId);
    if (lease === undefined) {
      this.attemptFailed(effect, routing.SERVER_GONE);
      return;
    }
    this.context.stallDetector.attemptSent(effect.serverId);
    try {
      const known = this.context.server(effect.serverId);
      const outcome = await this.relay(effect, lease, known, signal);
      if (outcome === undefined) {
        this.finish(effect);
      } else {
        this.attemptFailed(effect, outcome);
      }
    } finally {
      this.context.stallDetector.attemptEnded(effect.serverId);
      lease.release();
    }
  }

  private relay(
    effect: decision.Dispatch,
    lease: routing.BackendLease<backend.RelayServer>,
    known: membership.EligibleServer | undefined,
    signal: AbortSignal,
  ): Promise<verdict.RequestFailure | undefined> {
    const { call, context } = this;
    this.logDispatch(effect, known);
    this.tellPlacing(effect.serverId, known);
    return new Promise((resolve) => {
      const receiver = new answerReceiver.AnswerReceiver(
        {
          reply: this.reply,
          progress: this.delivered,
          isCurrent: () => !signal.aborted && !this.isOver,
          onEvent: () => this.reportEvent(effect),
          bufferBudget: context.bufferBudget,
          onArrival: () => context.stallDetector.dataReceived(effect.serverId),
          onLoad: (load) => this.reportLoad(lease.machine, load),
        },
        resolve,
      );
      const remaining = Math.floor(call.deadline - context.time.monotonic());
      const request: backend.RelayRequest = {
        requestId: call.requestId,
        method: call.method,
        path: call.path,
        headers: context.headerCodec.attemptHeaders(call.headers, {
          requestId: call.requestId,
          serverId: effect.serverId,
          team: call.team,
          remainingMilliseconds: Math.max(1, remaining),
          priority: call.profile.priority,
          resumeAfter: this.delivered.lastEventId,
          ...this.cacheFacts(effect, known),
        }),
        body: call.body,
        freshConnection: false,
        timeoutMilliseconds: Math.max(1, remaining),
        signal,
      };
      receiver.handle = lease.client.relay(request, receiver);
    });
  }

  /** The inputs that decided where a request went. */
  private logDispatch(
    effect: decision.Dispatch,
    known: membership.EligibleServer | undefined,
  ): void {
    const { requestId, profile } = this.call;
    const weightsVersion = known?.weightsVersion;
    logger.information('request dispatched', {
      requestId,
      service: profile.service,
      backendServer: effect.serverId,
      attempt: effect.attemptId,
      weightsVersion,
      supersededMilliseconds:
        weightsVersion === undefined
          ? undefined
          : this.context.supersededMilliseconds(profile.service, weightsVersion),
      queuedMilliseconds: Math.round(effect.queuedMilliseconds),
      expectedCachedTokens: effect.expectedCachedTokens,
      cacheSource: effect.cacheSource,
      resumeFrom: effect.resumeFrom,
    });
  }

  /** Other daemons then have these prefixes copied rather than read again. */
  private tellPlacing(serverId: string, known: membership.EligibleServer | undefined): void {
    if (known?.weightsVersion !== undefined && this.call.cacheNamespace !== undefined) {
      const hashes = decision.sharedHashes(known.weightsVersion, this.profile.prefixChain);
      this.context.placings.add({ serverId, hashes });
    }
  }

  /** The salt names the weights that the server is believed to have; with others it has to refuse. */
  private cacheFacts(
    effect: decision.Dispatch,
    known: membership.EligibleServer | undefined,
  ): { cacheSalt?: string; weightsVersion?: string; cacheSource?: string } {
    const { cacheNamespace: cacheWall } = this.call;
    const weightsVersion = known?.weightsVersion;
    if (cacheWall === undefined || weightsVersion === undefined) {
      return {};
    }
    const source =
      effect.cacheSource === undefined ? undefined : this.context.server(effect.cacheSource);
    return {
      cacheSalt: `${weightsVersion}.${cacheWall}`,
      weightsVersion,
      ...(source === undefined ? {} : { cacheSource: `${source.host}:${source.port}` }),
    };
  }

  private reportEvent(effect: decision.Dispatch): void {
    this.meter.pieceReceived();
    const { task } = this.context;
    task.feed({
      kind: decision.DecisionEventKind.PieceReceived,
      at: task.now(),
      requestId: this.profile.requestId,
      attemptId: effect.attemptId,
      nextPiece: this.delivered.events,
    });
  }

  /** The work at engines is known from the daemons themselves, with the memory that it takes. */
  private reportLoad(machine: backend.MachineRecord, load: backend.RelayLoad): void {
    if (machine.kind === backend.BackendKind.ModelEngine) {
      return;
    }
    const { task } = this.context;
    task.feed({
      kind: decision.DecisionEventKind.LoadReported,
      at: task.now(),
      serverId: machine.id,
      incarnation: machine.incarnation ?? machine.id,
      weightsVersion: '',
      ageMilliseconds: LOAD_AGE_MILLISECONDS,
      runningRequests: load.running,
      queuedRequests: load.waiting,
      queuedPrefillTokens: 0,
    });
  }

  private finish(effect: decision.Dispatch): void {
    if (this.finishAttempt(effect)) {
      this.delivered.complete?.({ backendServer: effect.serverId });
    }
  }

  /** The time of the caller or of the route is over. */
  private expire(): void {
    if (this.isOver) {
      return;
    }
    const failure = this.isRunning || this.wasSent ? TIMED_OUT : NOT_DISPATCHED;
    this.abandon();
    this.meter.failed(failure);
    this.reply.fail(failure);
  }

  private get wasSent(): boolean {
    return this.delivered.events > 0 || this.mayHaveRun;
  }

  private mayHaveRun = false;

  protected override attemptFailed(
    effect: decision.Dispatch,
    failure: verdict.RequestFailure,
  ): void {
    this.mayHaveRun ||= failure.verdict !== verdict.Verdict.NotRun;
    super.attemptFailed(effect, failure);
  }
}

const logger = new logging.Logger('gateway');

/** One way from a server in another region. */
const LOAD_AGE_MILLISECONDS = 10;

const TIMED_OUT = verdict.failure(
  verdict.FailureReason.Timeout,
  verdict.Verdict.MayHaveRun,
  'The request was not answered in its time.',
);

const NOT_DISPATCHED = verdict.failure(
  verdict.FailureReason.DeadlineUnreachable,
  verdict.Verdict.NotRun,
  'No backend server could take the request in its time.',
);
