import * as backend from '../backend';
import * as logging from '../logging';
import * as verdict from '../verdict';
import * as eventSplitter from './event-splitter';
import * as bufferBudget from './buffer-budget';
import type * as relayReply from './relay-reply';

/** Progress of the delivery of one request's answer to the caller, over all attempts. */
export interface DeliveryProgress {
  events: number;
  /** Id of the last event that the caller has received. */
  lastEventId?: number;
  /** True once a part of an answer that is no event stream was written; no other attempt can continue it. */
  isStarted?: boolean;
  /** Ends the answer; set by the attempt that has received all of it. */
  complete?: (fields: logging.LogFields) => void;
}

/** Whether no other run can go on behind what the caller has received. */
export function isFinal({ events, lastEventId, isStarted }: DeliveryProgress): boolean {
  return isStarted === true || (events > 0 && lastEventId === undefined);
}

/** Dependencies of the receiver of one attempt. */
export interface ReceiverPorts {
  readonly reply: relayReply.RelayReply;
  readonly progress: DeliveryProgress;
  /** False once the attempt was cancelled or the request is over. */
  readonly isCurrent: () => boolean;
  readonly onEvent: () => void;
  /** Called for everything that shows that the server is responsive: a response head, an event, a part of a body. */
  readonly onArrival: () => void;
  /** Shared by all requests. */
  readonly bufferBudget: bufferBudget.BufferBudget;
  readonly onLoad: (load: backend.RelayLoad) => void;
  readonly onLimits: (limits: backend.ServerLimits) => void;
  readonly onLeaving: () => void;
}

/**
 * Delivers the answer of one attempt to the caller. A small answer is buffered until it is complete, so that the
 * request can be retried if it breaks. A larger answer is forwarded as it arrives, and a stream event by event, each
 * event once. `onSettled` is called with the failure of the attempt, or without one once the answer is complete.
 */
export class AnswerReceiver implements backend.RelayReceiver {
  handle: backend.RelayHandle | undefined;

  private head: backend.HttpHead | undefined;

  private splitter: eventSplitter.EventSplitter | undefined;

  /** The first bytes of a small answer, or comments before the first event of a stream. */
  private readonly buffered = new backend.ByteCollector(MAXIMUM_BUFFERED_BYTES);

  /** Bytes that the shared buffer budget counts for this attempt. */
  private bufferedBytes = 0;

  private bodyBytes = 0;

  /** Bytes received since the last new event. */
  private idleBytes = 0;

  private isSettled = false;

  /** Parts that arrived while they are held back; absent while parts are delivered as they arrive. */
  private held: Buffer[] | undefined;

  private isWriteBlocked = false;

  constructor(
    private readonly ports: ReceiverPorts,
    private readonly onSettled: (failure?: verdict.RequestFailure) => void,
  ) {}

  /** Whether the caller has to read before more of the answer is read from its server. */
  get isBlocked(): boolean {
    return this.isWriteBlocked;
  }

  onLimits(limits: backend.ServerLimits): void {
    this.ports.onLimits(limits);
  }

  onLeaving(): void {
    this.ports.onLeaving();
  }

  onHead(head: backend.HttpHead, load: backend.RelayLoad | undefined): void {
    this.head = head;
    this.ports.onArrival();
    this.reportLoad(load);
    const { progress } = this.ports;
    const type = head.headers['content-type'] ?? '';
    if (head.status === 200 && type.startsWith('text/event-stream') && !isFinal(progress)) {
      this.splitter = new eventSplitter.EventSplitter(MAXIMUM_EVENT_BYTES);
    } else if (progress.events > 0 || progress.isStarted === true) {
      this.reject(NOT_RESUMED);
    }
  }

  /** Keeps what arrives until `release`. */
  hold(): void {
    this.held ??= [];
  }

  /** Delivers what was held back, and from now on all that arrives. */
  release(): void {
    const { held } = this;
    if (held !== undefined) {
      this.held = undefined;
      held.forEach((part) => this.onData(part));
      if (!this.isWriteBlocked) {
        this.handle?.resume();
      }
    }
  }

  onData(chunk: Buffer): void {
    if (this.isSettled || !this.ports.isCurrent()) {
      return;
    }
    if (this.held !== undefined) {
      this.keep(this.held, chunk);
      return;
    }
    if (this.splitter !== undefined) {
      this.receiveEvents(this.splitter, chunk);
    } else {
      this.receiveBody(chunk);
    }
  }

  onEnd(): void {
    const { progress, reply, isCurrent } = this.ports;
    if (!isCurrent()) {
      this.end();
      return;
    }
    if (this.splitter !== undefined) {
      this.completeHeld(this.splitter);
      if (this.isSettled) {
        return;
      }
      if (this.splitter.pendingBytes > 0) {
        this.end(CUT_INSIDE_EVENT);
        return;
      }
      if (this.head !== undefined) {
        reply.writeHead(this.head);
        this.forward(this.buffered.take());
      }
      progress.complete = (fields) => reply.end(fields);
    } else if (progress.isStarted === true) {
      progress.complete = (fields) => reply.end(fields);
    } else if (this.head !== undefined) {
      const { head } = this;
      const body = this.buffered.take();
      this.countUntilRead();
      progress.complete = (fields) => reply.send(head, body, fields);
    }
    this.end();
  }

  onFailure(failure: verdict.RequestFailure, load: backend.RelayLoad | undefined): void {
    this.reportLoad(load);
    this.end(failure);
  }

  /**
   * Delivers the held rest of a stream that has ended. If the stream was broken off, nothing of it is delivered: another
   * server may already go on behind the last delivered event.
   */
  private completeHeld(splitter: eventSplitter.EventSplitter): void {
    const { held } = this;
    if (held === undefined) {
      return;
    }
    this.held = undefined;
    try {
      const events = splitter.push(Buffer.concat(held));
      if (events.some(({ isAnswerHead }) => isAnswerHead === true)) {
        this.reject(SECOND_ANSWER);
      } else if (splitter.pendingBytes > 0) {
        this.end(CUT_INSIDE_EVENT);
      } else {
        this.deliver(this.newEvents(events));
      }
    } catch {
      this.reject(TOO_LARGE_EVENT);
    }
  }

  private keep(held: Buffer[], chunk: Buffer): void {
    held.push(chunk);
    this.ports.onArrival();
    if (held.reduce((sum, { length }) => sum + length, 0) > MAXIMUM_EVENT_BYTES) {
      this.handle?.pause();
    }
  }

  private receiveBody(chunk: Buffer): void {
    this.ports.onArrival();
    this.bodyBytes += chunk.length;
    if (this.bodyBytes > MAXIMUM_ANSWER_BYTES) {
      this.reject(TOO_LARGE);
    } else if (this.ports.progress.isStarted === true) {
      this.forward(chunk);
    } else if (!this.buffered.add(chunk) || !this.tryBuffer(this.buffered.size)) {
      this.startForwarding(chunk);
    }
  }

  /** Starts to forward an answer that is too large to be buffered until it is complete. */
  private startForwarding(chunk: Buffer): void {
    const { reply, progress } = this.ports;
    const isChunkBuffered = this.buffered.size === this.bodyBytes;
    progress.isStarted = true;
    reply.writeHead(this.head!);
    const collected = this.buffered.take();
    this.tryBuffer(0);
    this.forward(isChunkBuffered ? collected : Buffer.concat([collected, chunk]));
  }

  private receiveEvents(splitter: eventSplitter.EventSplitter, chunk: Buffer): void {
    this.idleBytes += chunk.length;
    try {
      const received = splitter.push(chunk);
      const foreign = received.findIndex(({ isAnswerHead }) => isAnswerHead === true);
      this.deliver(this.newEvents(foreign < 0 ? received : received.slice(0, foreign)));
      if (foreign >= 0) {
        this.reject(SECOND_ANSWER);
        return;
      }
    } catch {
      this.reject(TOO_LARGE_EVENT);
      return;
    }
    if (this.idleBytes > MAXIMUM_EVENT_BYTES) {
      this.reject(NO_EVENTS);
    } else if (!this.tryBuffer(splitter.pendingBytes + this.buffered.size)) {
      this.reject(BUFFER_LIMIT_REACHED);
    }
  }

  /** Drops events that were delivered before: a resumed stream may repeat them. */
  private newEvents(events: readonly eventSplitter.StreamEvent[]): eventSplitter.StreamEvent[] {
    let { lastEventId } = this.ports.progress;
    return events.filter(({ id }) => {
      const isNew = id === undefined || lastEventId === undefined || id > lastEventId;
      lastEventId = isNew ? (id ?? lastEventId) : lastEventId;
      return isNew;
    });
  }

  /** Holds comments back until the first event, because until then another attempt may still answer instead. */
  private deliver(events: readonly eventSplitter.StreamEvent[]): void {
    const { progress, reply } = this.ports;
    const bytes = Buffer.concat(events.map((event) => event.bytes));
    const withFields = events.filter(({ hasFields }) => hasFields);
    if (withFields.length > 0) {
      this.idleBytes = 0;
      progress.events += withFields.length;
      progress.lastEventId =
        withFields.findLast(({ id }) => id !== undefined)?.id ?? progress.lastEventId;
      this.ports.onArrival();
      this.ports.onEvent();
    }
    if (progress.events === 0) {
      this.buffered.add(bytes);
    } else if (events.length > 0) {
      reply.writeHead(this.head!);
      this.forward(Buffer.concat([this.buffered.take(), bytes]));
    }
  }

  private forward(bytes: Buffer): void {
    const isAccepted = this.ports.reply.write(bytes, () => {
      this.isWriteBlocked = false;
      this.handle?.resume();
    });
    if (!isAccepted) {
      this.isWriteBlocked = true;
      this.handle?.pause();
    }
  }

  /** Keeps the bytes of a small answer in the budget until the caller has read them, as they stay in memory. */
  private countUntilRead(): void {
    const bytes = this.bufferedBytes;
    this.bufferedBytes = 0;
    this.ports.reply.onClosed(() =>
      this.ports.bufferBudget.resize(bufferBudget.BufferKind.Answer, bytes, 0),
    );
  }

  /** Changes the number of bytes that this attempt buffers; false if the shared budget does not allow it. */
  private tryBuffer(bytes: number): boolean {
    const kind =
      this.splitter === undefined ? bufferBudget.BufferKind.Answer : bufferBudget.BufferKind.Event;
    const isAllowed = this.ports.bufferBudget.resize(kind, this.bufferedBytes, bytes);
    this.bufferedBytes = isAllowed ? bytes : this.bufferedBytes;
    return isAllowed;
  }

  private reportLoad(load: backend.RelayLoad | undefined): void {
    if (load !== undefined) {
      this.ports.onLoad(load);
    }
  }

  /** Cancels an answer that is still arriving and fails the attempt. */
  private reject(failure: verdict.RequestFailure): void {
    this.handle?.reject(failure);
    this.end(failure);
  }

  private end(failure?: verdict.RequestFailure): void {
    if (!this.isSettled) {
      this.isSettled = true;
      this.tryBuffer(0);
      const isLast = failure !== undefined && isFinal(this.ports.progress);
      this.onSettled(isLast ? { ...failure, verdict: Verdict.Ran } : failure);
    }
  }
}

/** A larger answer is forwarded as it arrives. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1_024;

/** Far above the size of an event, which carries a few tokens. */
const MAXIMUM_EVENT_BYTES = 256 * 1_024;

/** Far above the answers that callers request; a larger one is treated as endless. */
const MAXIMUM_ANSWER_BYTES = 16 * 1_024 * 1_024;

const { FailureReason, Verdict } = verdict;

const CUT_INSIDE_EVENT = verdict.failure(
  FailureReason.StreamBroken,
  Verdict.MayHaveRun,
  'The stream ended inside an event.',
);

/** The server has answered, so that this is no sign of a crash. */
const NOT_RESUMED = verdict.failure(
  FailureReason.BackendError,
  Verdict.MayHaveRun,
  'The backend server did not go on with the stream.',
);

const TOO_LARGE_EVENT = verdict.failure(
  FailureReason.BackendError,
  Verdict.MayHaveRun,
  'An event of the stream is too large.',
  { malformed: true },
);

const SECOND_ANSWER = verdict.failure(
  FailureReason.BackendError,
  Verdict.MayHaveRun,
  'Another answer follows the events of the stream.',
  { malformed: true },
);

const NO_EVENTS = verdict.failure(
  FailureReason.BackendError,
  Verdict.MayHaveRun,
  'The stream goes on without an event.',
  { malformed: true },
);

const BUFFER_LIMIT_REACHED = verdict.failure(
  FailureReason.BackendError,
  Verdict.MayHaveRun,
  'This router holds too many unfinished events.',
);

const TOO_LARGE = verdict.failure(
  FailureReason.BackendError,
  Verdict.MayHaveRun,
  'The answer of the backend server is too large.',
);
