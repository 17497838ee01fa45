import type * as http from 'node:http';
import * as results from 'ts-results';
import * as backend from '../backend';
import * as clock from '../clock';
import * as decision from '../decision';
import * as logging from '../logging';
import * as membership from '../membership';
import * as routing from '../routing';
import * as verdict from '../verdict';
import * as answerLimit from './answer-limit';
import * as answerReceiver from './answer-receiver';
import * as cacheNamespaces from './cache-namespace';
import * as forwardExecution from './forward-execution';
import type * as relayContext from './relay-context';
import type * as relayReply from './relay-reply';
import * as roomReservation from './room-reservation';
import type * as streamOrigins from './stream-origins';

/** A request after admission to the gateway. */
export interface RelayCall {
  readonly profile: decision.RequestProfile;
  /** Id that the caller sent; the profile has one of the router. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Uint8Array;
  readonly team?: string;
  readonly cacheOwner: cacheNamespaces.CacheOwner;
  /** Under which cached prompt parts were kept when the request arrived; the prefixes of the profile belong to it. */
  readonly cacheNamespace?: string;
  /** Monotonic time in milliseconds at which the caller's deadline or the route's timeout ends. */
  readonly deadline: number;
  /** Last event that the caller received before it sent the request again. */
  readonly lastEventId?: number;
  /** Version of the routing document by which the route was chosen. */
  readonly routingVersion: number;
  /** Whether another gateway has sent the request, which must not be forwarded again. */
  readonly isForwarded: boolean;
  /** Present if the caller may take up the answer again at any gateway. */
  readonly stream?: streamOrigins.StreamIdentity;
}

/** Runs one request: relays its unchanged content between the caller and the servers that the core selected. */
export class RelayExecution extends routing.StreamExecution {
  private readonly deliveryProgress: answerReceiver.DeliveryProgress;

  private readonly timer: clock.Timer;

  private isOriginKnown = false;

  /** Receivers of the running attempts. */
  private readonly receivers = new Set<answerReceiver.AnswerReceiver>();

  /** Monotonic time in milliseconds at which the last bytes arrived, or the last attempt was sent. */
  private lastArrivalAt = Number.NEGATIVE_INFINITY;

  /** Ended attempts that may have run. */
  private runs = 0;

  /** Attempts whose request may have reached a server. */
  private sends = 0;

  /** Another gateway that is asked to go on with the stream while this one has a run; absent if none is. */
  private handOver: forwardExecution.ForwardExecution | undefined;

  /** Monotonic time in milliseconds at which another gateway was asked last. */
  private handOverAt = Number.NEGATIVE_INFINITY;

  /** The attempt whose events the core was told of last, and when. */
  private reportedEvents: { readonly attemptId?: string; readonly at: number } = { at: 0 };

  constructor(
    private readonly call: RelayCall,
    protected override readonly context: relayContext.RelayContext,
    private readonly reply: relayReply.RelayReply,
  ) {
    super(call.profile, context);
    this.loggedId = call.requestId;
    this.deliveryProgress = { events: 0, lastEventId: call.lastEventId };
    const remaining = Math.max(0, call.deadline - context.time.monotonic());
    this.timer = context.time.setTimer(remaining, () => this.expire());
  }

  override fail(failure: verdict.RequestFailure, cutStream?: decision.CutStream): void {
    if (this.isOver) {
      return;
    }
    this.end();
    this.logCut(cutStream);
    if (this.mayForward(failure.verdict)) {
      this.forward();
    } else {
      this.meter.failed(failure);
      this.reply.fail(failure);
    }
  }

  /**
   * Lets another gateway run the request if it waits here, or if nothing arrives from its server. A stream that has begun keeps
   * its run until the other gateway delivers.
   */
  override connectivityLost(): void {
    const { MayHaveRun, NotRun } = verdict.Verdict;
    const { isRunning } = this;
    if (this.isOver || this.isAlive || !this.mayForward(isRunning ? MayHaveRun : NotRun)) {
      return;
    }
    if (isRunning && this.deliveryProgress.events > 0) {
      this.offerToGateway();
    } else {
      this.runs += isRunning ? 1 : 0;
      this.abandon();
      this.forward();
    }
  }

  /** Whether the server of a running attempt has sent something lately, or more than the caller reads. */
  private get isAlive(): boolean {
    const silentMilliseconds = this.context.time.monotonic() - this.lastArrivalAt;
    const isBlocked = [...this.receivers].some((receiver) => receiver.isBlocked);
    return this.isRunning && (isBlocked || silentMilliseconds < SILENCE_MILLISECONDS);
  }

  private offerToGateway(): void {
    const now = this.context.time.monotonic();
    if (this.handOver === undefined && now - this.handOverAt >= HAND_OVER_INTERVAL_MILLISECONDS) {
      this.handOverAt = now;
      this.handOver = this.forwarding({
        takenOver: () => {
          this.handOver = undefined;
          this.abandon();
        },
        refused: () => {
          this.handOver = undefined;
        },
      });
      this.handOver.run();
    }
  }

  private endHandOver(): void {
    this.handOver?.cancel();
    this.handOver = undefined;
  }

  /** Stops every attempt and notifies the core, because the caller has closed its connection. */
  cancel(): void {
    if (!this.isOver) {
      this.abandon();
    }
  }

  private mayForward(outcome: verdict.Verdict): boolean {
    const combined = this.runs > 0 ? verdict.Verdict.MayHaveRun : outcome;
    const { task } = this.context;
    return (
      decision.endsInTime(task.current as decision.DecisionState, this.profile, task.now()) &&
      this.context.forwarder.isActive &&
      !this.call.isForwarded &&
      !answerReceiver.isFinal(this.deliveryProgress) &&
      verdict.mayRetry(combined, this.profile.idempotent)
    );
  }

  private forward(): void {
    this.forwarding().run();
  }

  private forwarding(ownRun?: forwardExecution.OwnRun): forwardExecution.ForwardExecution {
    const runs = this.runs + (ownRun === undefined ? 0 : 1);
    const { call, context, reply, sends } = this;
    const start = { progress: this.deliveryProgress, runs, sends, ownRun };
    return new forwardExecution.ForwardExecution(call, context, reply, start);
  }

  protected override end(): void {
    super.end();
    this.timer.cancel();
    this.endHandOver();
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
    this.lastArrivalAt = this.context.time.monotonic();
    this.context.stallDetector.attemptSent(effect.serverId);
    try {
      const reservation = await this.reserveRoom(effect, lease.client);
      if (reservation.err) {
        this.attemptFailed(effect, reservation.val, true);
        return;
      }
      if (signal.aborted) {
        if (reservation.val !== undefined) {
          await lease.client.release(reservation.val);
        }
        return;
      }
      const server = this.context.server(effect.serverId);
      if (server === undefined) {
        await this.giveUpUnsent(effect, lease.client, reservation.val);
        return;
      }
      this.sends += 1;
      const outcome = await this.relay(effect, lease, server, signal, reservation.val);
      this.sends -= outcome?.reason === verdict.FailureReason.ConnectFailed ? 1 : 0;
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

  /** The server died or began to leave while the attempt waited for the reservation. */
  private async giveUpUnsent(
    effect: decision.Dispatch,
    server: backend.RelayServer,
    reservation: string | undefined,
  ): Promise<void> {
    this.attemptFailed(effect, routing.SERVER_GONE, true);
    if (reservation !== undefined) {
      await server.release(reservation);
    }
  }

  /** Only a stream with numbered events goes on behind the last delivered one at another server. */
  private async reserveRoom(
    { offer }: decision.Dispatch,
    server: backend.RelayServer,
  ): Promise<results.Result<string | undefined, verdict.RequestFailure>> {
    if (offer !== true) {
      return new results.Ok(undefined);
    }
    const { promptTokens, expectedOutputTokens } = this.profile;
    return this.deliveryProgress.lastEventId === undefined
      ? new results.Err(NOT_NUMBERED)
      : roomReservation.reserveRoom(server, promptTokens + expectedOutputTokens, this.context.time);
  }

  private relay(
    effect: decision.Dispatch,
    lease: routing.BackendLease<backend.RelayServer>,
    server: membership.EligibleServer,
    signal: AbortSignal,
    reservation: string | undefined,
  ): Promise<verdict.RequestFailure | undefined> {
    const { call, context } = this;
    if (effect.offer === true && this.isRunningElsewhere(effect)) {
      this.beginOffer(effect);
    }
    const cache = this.cacheMetadata(effect, server);
    this.logDispatch(effect, server, cache.cacheSalt);
    if (cache.cacheSalt !== undefined && cache.weightsVersion === undefined) {
      this.meter.weightsUnknown();
    }
    this.announcePrefixes(effect.serverId, server);
    return new Promise((resolve) => {
      const receiver = new answerReceiver.AnswerReceiver(
        {
          reply: this.reply,
          progress: this.deliveryProgress,
          isCurrent: () => !signal.aborted && !this.isOver,
          onEvent: () => this.reportEvent(effect),
          bufferBudget: context.bufferBudget,
          onArrival: () => {
            this.lastArrivalAt = context.time.monotonic();
            context.stallDetector.dataReceived(effect.serverId);
          },
          onLoad: (load) => this.reportLoad(lease.machine, load),
          onLimits: (limits) => this.reportLimits(effect, limits),
        },
        (failure) => {
          this.receivers.delete(receiver);
          resolve(failure);
        },
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
          resumeAfter: this.deliveryProgress.lastEventId,
          reservation,
          ...cache,
        }),
        body: call.body,
        incarnation: server.incarnation,
        freshConnection: false,
        timeoutMilliseconds: answerLimit.answerLimitMilliseconds(remaining),
        signal,
      };
      this.receivers.add(receiver);
      receiver.handle = lease.client.relay(request, receiver);
    });
  }

  /** Logs the inputs of the decision that selected the server. */
  private logDispatch(
    effect: decision.Dispatch,
    server: membership.EligibleServer,
    cacheSalt: string | undefined,
  ): void {
    const { requestId, profile } = this.call;
    const { weightsVersion } = server;
    logger.information('request dispatched', {
      requestId,
      service: profile.service,
      backendServer: effect.serverId,
      attempt: effect.attemptId,
      softwareVersion: effect.softwareVersion,
      weightsVersion,
      cacheSalt,
      supersededMilliseconds:
        weightsVersion === undefined
          ? undefined
          : this.context.supersededMilliseconds(profile.service, weightsVersion),
      queuedMilliseconds: Math.round(effect.queuedMilliseconds),
      offer: effect.offer,
      expectedCachedTokens: effect.expectedCachedTokens,
      cacheSource: effect.cacheSource,
      resumeFrom: effect.resumeFrom,
      lastEventId: this.deliveryProgress.lastEventId,
      resumes:
        this.call.stream?.firstRequestId === requestId
          ? undefined
          : this.call.stream?.firstRequestId,
    });
  }

  /** Announces the prefixes to other daemons, which can have them copied from this server instead of recomputed. */
  private announcePrefixes(serverId: string, server: membership.EligibleServer): void {
    if (server.weightsVersion !== undefined && this.hasNamespaceOfArrival) {
      const hashes = decision.sharedPrefixHashes(server.weightsVersion, this.profile.prefixChain);
      this.context.placementBuffer.add({ serverId, hashes });
    }
  }

  private get currentNamespace(): string | undefined {
    return this.context.cacheNamespace(this.profile.service, this.call.cacheOwner);
  }

  /** Whether the prefixes by which servers are selected are those that servers keep now. */
  private get hasNamespaceOfArrival(): boolean {
    const { cacheNamespace } = this.call;
    return cacheNamespace !== undefined && cacheNamespace === this.currentNamespace;
  }

  /** With other weights than the last observed ones the server must refuse. */
  private cacheMetadata(
    effect: decision.Dispatch,
    server: membership.EligibleServer,
  ): { cacheSalt?: string; weightsVersion?: string; cacheSource?: string } {
    const namespace = this.currentNamespace;
    return namespace === undefined
      ? {}
      : {
          cacheSalt: cacheNamespaces.cacheSalt(namespace, server),
          weightsVersion: server.weightsVersion,
          cacheSource: this.cacheSource(effect, server),
        };
  }

  /** `host:port` of the server to copy cached parts from; parts of unknown weights are not copied. */
  private cacheSource(
    { cacheSource }: decision.Dispatch,
    { weightsVersion }: membership.EligibleServer,
  ): string | undefined {
    const isUsable = weightsVersion !== undefined && this.hasNamespaceOfArrival;
    const source =
      cacheSource === undefined || !isUsable ? undefined : this.context.server(cacheSource);
    return source && `${source.host}:${source.port}`;
  }

  /** Reports what an answer says about limits: each gateway hears of a service's limit of refusals by itself within a second. */
  private reportLimits(
    { serverId }: decision.Dispatch,
    { requestsPerSecond, refusalsPerSecond }: backend.ServerLimits,
  ): void {
    const { task, requestLimits } = this.context;
    const { service } = this.profile;
    requestLimits.observe(serverId, requestsPerSecond);
    const { refusalLimits } = task.current as decision.DecisionState;
    if (refusalLimits.perSecond.get(service) !== refusalsPerSecond) {
      const kind = decision.DecisionEventKind.RefusalLimitChanged;
      logger.information('limit of refusals of a service changed', {
        service,
        backendServer: serverId,
        refusalsPerSecond: refusalsPerSecond ?? 'none',
      });
      task.feed({ kind, at: task.now(), service, refusalsPerSecond });
    }
  }

  /** Reports the first event of an attempt at once and later ones together, several times a second. */
  private reportEvent(effect: decision.Dispatch): void {
    this.meter.pieceReceived();
    this.attemptDelivers(effect.attemptId);
    this.endHandOver();
    this.rememberOrigin(effect);
    const { task } = this.context;
    const at = task.now();
    const isFirst = this.reportedEvents.attemptId !== effect.attemptId;
    if (!isFirst && at - this.reportedEvents.at < EVENT_REPORT_MILLISECONDS) {
      return;
    }
    this.reportedEvents = { attemptId: effect.attemptId, at };
    task.feed({
      kind: decision.DecisionEventKind.PieceReceived,
      at,
      requestId: this.profile.requestId,
      attemptId: effect.attemptId,
      nextPiece: this.deliveryProgress.events,
    });
  }

  /** Remembers the version that began the stream before the caller receives an event. */
  private rememberOrigin({ softwareVersion }: decision.Dispatch): void {
    if (!this.isOriginKnown && this.call.stream !== undefined) {
      this.isOriginKnown = true;
      this.context.streamOrigins.begin(this.call.stream, softwareVersion);
    }
  }

  /** Ignores the load of engines, which the daemons exchange themselves, including the memory that requests use. */
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

  protected override holdDelivery(): void {
    this.receivers.forEach((receiver) => receiver.hold());
  }

  protected override releaseDelivery(): void {
    this.receivers.forEach((receiver) => receiver.release());
  }

  private finish(effect: decision.Dispatch): void {
    if (this.finishAttempt(effect)) {
      if (this.call.stream !== undefined) {
        this.context.streamOrigins.complete(this.call.stream);
      }
      this.deliveryProgress.complete?.({ backendServer: effect.serverId });
    }
  }

  /** Fails the request, because the caller's deadline or the route's timeout has ended. */
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
    return this.deliveryProgress.events > 0 || this.runs > 0;
  }

  /**
   * A crash by a prompt part shows in the requests at the crashed server that had received no piece, and a run that was given
   * up while it delivered in the time since its last bytes.
   */
  protected override progressFields(): logging.LogFields {
    const silentMilliseconds = Math.round(this.context.time.monotonic() - this.lastArrivalAt);
    return {
      ...super.progressFields(),
      pieces: this.deliveryProgress.events,
      silentMilliseconds,
    };
  }

  protected override attemptFailed(
    effect: decision.Dispatch,
    failure: verdict.RequestFailure,
    isUnsent?: true,
  ): void {
    if (this.isAttemptRunning(effect.attemptId)) {
      this.runs += failure.verdict === verdict.Verdict.NotRun ? 0 : 1;
    }
    super.attemptFailed(effect, failure, isUnsent);
  }
}

const logger = new logging.Logger('gateway');

const NOT_NUMBERED = verdict.failure(
  verdict.FailureReason.Overloaded,
  verdict.Verdict.NotRun,
  'The events of the stream have no numbers, behind which another server could go on.',
);

/** The core averages the pauses between the events of this time. */
const EVENT_REPORT_MILLISECONDS = 100;

/** Above the usual time to the first token, and below the time in which callers give up. */
const SILENCE_MILLISECONDS = 1_000;

/** Servers that other gateways found full may have room after this time. */
const HAND_OVER_INTERVAL_MILLISECONDS = 500;

/** One-way delay from a server in another region. */
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
