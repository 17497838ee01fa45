import * as clock from '../clock';
import * as logging from '../logging';
import * as verdict from '../verdict';
import * as answerLimit from './answer-limit';
import * as answerReceiver from './answer-receiver';
import type * as bufferBudget from './buffer-budget';
import * as forwardHeader from './forward-header';
import type * as forwarderModule from './forwarder';
import type * as headerCodec from './header-codec';
import type * as relayCall from './relay-call';
import type * as relayReply from './relay-reply';

/** Objects that all forwarded requests share. */
export interface ForwardContext {
  readonly forwarder: forwarderModule.Forwarder;
  readonly headerCodec: headerCodec.HeaderCodec;
  readonly bufferBudget: bufferBudget.BufferBudget;
  readonly time: clock.Clock;
}

/** What has happened to a request at this gateway before it is forwarded. */
export interface ForwardStart {
  readonly progress: answerReceiver.DeliveryProgress;
  /** Attempts that may have run. */
  readonly runs: number;
  /** Attempts that may have reached a server; absent if this gateway has not counted the request. */
  readonly sends?: number;
  /** Present if a run of this gateway may still deliver; the first one to deliver goes on. */
  readonly ownRun?: OwnRun;
}

/** A run of this gateway that goes on while another gateway is asked. */
export interface OwnRun {
  /** The other gateway delivers; called before its first event is written. */
  takenOver(): void;
  /** No other gateway takes the request. */
  refused(): void;
}

/**
 * Runs one request through another gateway, because this one cannot reach the backend servers. The other gateway admits and
 * retries it as a request of its own, and counts it towards the limit of retries as a new request, a repeat or, if this one has
 * counted it and not sent it, not at all; a forwarded request is never forwarded again.
 */
export class ForwardExecution {
  private readonly abortController = new AbortController();

  private readonly triedIds = new Set<string>();

  private readonly timer: clock.Timer;

  private isOver = false;

  private mayHaveRun: boolean;

  private hasTakenOver = false;

  private sends: number | undefined;

  constructor(
    private readonly call: relayCall.RelayCall,
    private readonly context: ForwardContext,
    private readonly reply: relayReply.RelayReply,
    private readonly start: ForwardStart,
  ) {
    this.sends = start.sends;
    this.mayHaveRun = start.runs > 0 || start.progress.events > 0;
    const remaining = Math.max(0, call.deadline - context.time.monotonic());
    this.timer = context.time.setTimer(remaining, () => this.expire());
    if (start.ownRun === undefined) {
      reply.onCallerDisconnect(() => this.cancel());
    }
  }

  /** Tries gateways until one of them answers; the reply is always ended. */
  async run(): Promise<void> {
    let failure = NO_GATEWAY;
    while (!this.isOver && this.triedIds.size < MAXIMUM_GATEWAYS) {
      const lease = this.context.forwarder.lease(this.triedIds);
      if (lease === undefined) {
        break;
      }
      this.triedIds.add(lease.gateway.daemonId);
      const outcome = await this.forward(lease);
      lease.release();
      if (this.isOver) {
        return;
      }
      if (outcome === undefined) {
        this.takeOver();
        this.end();
        this.start.progress.complete?.({ forwardedTo: lease.gateway.daemonId });
        return;
      }
      this.logFailure(lease, outcome);
      // A gateway that was reached has counted the request, and its refusal does not tell whether it has sent it.
      this.sends =
        outcome.reason === FailureReason.ConnectFailed ? this.sends : (this.sends ?? 0) + 1;
      this.mayHaveRun ||= outcome.verdict !== verdict.Verdict.NotRun;
      failure = outcome;
      if (!verdict.mayRetry(outcome.verdict, this.call.profile.idempotent)) {
        break;
      }
    }
    this.fail(failure);
  }

  /** Stops without a reply. */
  cancel(): void {
    if (!this.isOver) {
      this.end();
      this.abortController.abort();
    }
  }

  private takeOver(): void {
    if (!this.hasTakenOver) {
      this.hasTakenOver = true;
      if (this.start.ownRun !== undefined) {
        this.reply.onCallerDisconnect(() => this.cancel());
        this.start.ownRun.takenOver();
      }
    }
  }

  /** Whether the request ends without a reply, because a run of this gateway may still deliver. */
  private get leavesReply(): boolean {
    return this.start.ownRun !== undefined && !this.hasTakenOver;
  }

  private forward(
    lease: forwarderModule.ForwardLease,
  ): Promise<verdict.RequestFailure | undefined> {
    const { call, context, start } = this;
    const requestId = forwardHeader.forwardId(call.profile.requestId, this.sends);
    logger.information('request forwarded to another gateway', {
      requestId: call.requestId,
      service: call.profile.service,
      gateway: lease.gateway.daemonId,
      zone: lease.gateway.zone,
      lastEventId: start.progress.lastEventId,
    });
    return new Promise((resolve) => {
      const receiver = new answerReceiver.AnswerReceiver(
        {
          reply: this.reply,
          progress: start.progress,
          isCurrent: () => !this.isOver,
          onEvent: () => this.takeOver(),
          bufferBudget: context.bufferBudget,
          onArrival: () => {},
          onLoad: () => {},
          onLimits: () => {},
          onLeaving: () => {},
        },
        resolve,
      );
      const remaining = Math.max(1, Math.floor(call.deadline - context.time.monotonic()));
      receiver.handle = lease.relay(
        {
          requestId,
          method: call.method,
          path: call.path,
          headers: {
            ...context.headerCodec.forwardHeaders(call.headers, {
              remainingMilliseconds: remaining,
              lastEventId: start.progress.lastEventId,
              resumes: this.resumes,
            }),
            ...forwardHeader.forwardHeaders({
              id: requestId,
              routingVersion: call.routingVersion,
              runs: start.runs,
            }),
          },
          body: call.body,
          freshConnection: false,
          timeoutMilliseconds: answerLimit.answerLimitMilliseconds(remaining),
          signal: this.abortController.signal,
        },
        receiver,
      );
    });
  }

  /** Names the attempt that brought the first event, if the caller has one. */
  private get resumes(): string | undefined {
    const { progress } = this.start;
    const isBegun = progress.events > 0 || progress.lastEventId !== undefined;
    return isBegun ? this.call.stream?.firstRequestId : undefined;
  }

  private expire(): void {
    if (this.leavesReply) {
      this.cancel();
    } else if (!this.isOver) {
      this.end();
      this.abortController.abort();
      this.reply.fail(this.mayHaveRun || this.triedIds.size > 0 ? TIMED_OUT : NO_GATEWAY);
    }
  }

  private fail(failure: verdict.RequestFailure): void {
    if (this.isOver) {
      return;
    }
    this.end();
    if (this.leavesReply) {
      this.start.ownRun?.refused();
    } else {
      const outcome = this.mayHaveRun ? verdict.Verdict.MayHaveRun : verdict.Verdict.NotRun;
      this.reply.fail({ ...failure, verdict: verdict.combine(failure.verdict, outcome) });
    }
  }

  private end(): void {
    this.isOver = true;
    this.timer.cancel();
  }

  private logFailure(
    { gateway }: forwarderModule.ForwardLease,
    { reason, verdict: outcome }: verdict.RequestFailure,
  ): void {
    logger.information('forwarded request failed', {
      requestId: this.call.requestId,
      gateway: gateway.daemonId,
      reason,
      verdict: outcome,
    });
  }
}

const logger = new logging.Logger('gateway');

/** More would wait for gateways that are cut off or overloaded too. */
const MAXIMUM_GATEWAYS = 3;

const { FailureReason, Verdict } = verdict;

const NO_GATEWAY = verdict.failure(
  FailureReason.NoBackendServer,
  Verdict.NotRun,
  'This router cannot reach the backend servers, and no other router takes the request.',
  { retryAfterMilliseconds: 300 },
);

const TIMED_OUT = verdict.failure(
  FailureReason.Timeout,
  Verdict.MayHaveRun,
  'The request was not answered in its time.',
);
