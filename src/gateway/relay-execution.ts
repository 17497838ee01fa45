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
import * as answerReports from './answer-reports';
import * as cacheUse from './cache-use';
import * as dispatchLog from './dispatch-log';
import * as forwardExecution from './forward-execution';
import * as handOver from './hand-over';
import * as pauseReports from './pause-reports';
import type * as relayCall from './relay-call';
import type * as relayContext from './relay-context';
import type * as relayReply from './relay-reply';
import * as roomReservation from './room-reservation';

/** Runs one request: relays its unchanged content between the caller and the servers that the core selected. */
export class RelayExecution extends routing.StreamExecution {
  private readonly deliveryProgress: answerReceiver.DeliveryProgress;

  private readonly cacheUse: cacheUse.CacheUse;

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

  private readonly handOver: handOver.HandOver;

  /** The attempt whose events the core was told of last, and when. */
  private reportedEvents: { readonly attemptId?: string; readonly at: number } = { at: 0 };

  constructor(
    private readonly call: relayCall.RelayCall,
    protected override readonly context: relayContext.RelayContext,
    private readonly reply: relayReply.RelayReply,
  ) {
    super(call.profile, context);
    this.loggedId = call.requestId;
    this.deliveryProgress = { events: 0, lastEventId: call.lastEventId };
    this.cacheUse = new cacheUse.CacheUse(call, context);
    this.handOver = new handOver.HandOver(context.time);
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
    this.handOver.offer(
      (ownRun) => this.forwarding(ownRun),
      () => this.abandon(),
    );
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
    this.handOver.cancel();
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
    const cache = this.cacheUse.metadata(effect, server);
    const { cacheSalt } = cache;
    const { lastEventId } = this.deliveryProgress;
    dispatchLog.logDispatch(call, context, { effect, server, cacheSalt, lastEventId });
    if (call.isForEngine && server.weightsVersion === undefined) {
      this.meter.weightsUnknown();
    }
    this.cacheUse.announce(server);
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
          onLoad: (load) => answerReports.reportLoad(context, lease.machine, load),
          onLeaving: () => answerReports.reportLeaving(context, lease.machine, server),
          onLimits: (limits) => {
            answerReports.reportLimits(context, call.profile.service, effect.serverId, limits);
            pauseReports.reportPause(context, server, limits);
          },
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

  /** Reports the first event of an attempt at once and later ones together, several times a second. */
  private reportEvent(effect: decision.Dispatch): void {
    this.meter.pieceReceived();
    this.attemptDelivers(effect.attemptId);
    this.handOver.cancel();
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

const NOT_NUMBERED = verdict.failure(
  verdict.FailureReason.Overloaded,
  verdict.Verdict.NotRun,
  'The events of the stream have no numbers, behind which another server could go on.',
);

/** The core averages the pauses between the events of this time. */
const EVENT_REPORT_MILLISECONDS = 100;

/** Above the usual time to the first token, and below the time in which callers give up. */
const SILENCE_MILLISECONDS = 1_000;

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
