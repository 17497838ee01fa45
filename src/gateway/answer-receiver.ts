import * as backend from '../backend';
import * as logging from '../logging';
import * as verdict from '../verdict';
import * as eventSplitter from './event-splitter';
import * as bufferBudget from './buffer-budget';
import type * as relayReply from './relay-reply';

/** How far the answer of one request was delivered, over all of its attempts. */
export interface DeliveryProgress {
  events: number;
  /** Id of the last event that the caller has. */
  lastEventId?: number;
  /** True once a part of an answer that is no stream has left; nobody can send the rest of it again. */
  isStarted?: boolean;
  /** Ends the answer; set by the attempt that has the whole of it. */
  complete?: (fields: logging.LogFields) => void;
}

/** What the receiver of one attempt works with. */
export interface ReceiverPorts {
  readonly reply: relayReply.RelayReply;
  readonly progress: DeliveryProgress;
  /** False once the attempt was cancelled or the request is over. */
  readonly isCurrent: () => boolean;
  readonly onEvent: () => void;
  /** Called for whatever shows that the server lives: a head, an event, a part of a body. */
  readonly onArrival: () => void;
  /** Shared by all requests. */
  readonly bufferBudget: bufferBudget.BufferBudget;
  readonly onLoad: (load: backend.RelayLoad) => void;
}

/**
 * Delivers the answer of one attempt. Small answers are collected first, so that a broken one can be asked for
 * again; larger ones are passed on as they arrive, and events of a stream one by one, each once. `settle` is
 * called with the failure of the attempt, or without one when its answer is complete.
 */
export class AnswerReceiver implements backend.RelayReceiver {
  handle: backend.RelayHandle | undefined;

  private head: backend.HttpHead | undefined;

  private splitter: eventSplitter.EventSplitter | undefined;

  /** The beginning of a small answer, or comments that came before the first event. */
  private readonly collected = new backend.ByteCollector(MAXIMUM_COLLECTED_BYTES);

  /** Bytes that the shared bound counts for this attempt. */
  private heldBytes = 0;

  private bodyBytes = 0;

  /** Bytes since the last event that was new. */
  private idleBytes = 0;

  private isSettled = false;

  constructor(
    private readonly ports: ReceiverPorts,
    private readonly settle: (failure?: verdict.RequestFailure) => void,
  ) {}

  onHead(head: backend.HttpHead, load: backend.RelayLoad | undefined): void {
    this.head = head;
    this.ports.onArrival();
    this.reportLoad(load);
    const { events, isStarted: isBegun } = this.ports.progress;
    const type = head.headers['content-type'] ?? '';
    if (head.status === 200 && type.startsWith('text/event-stream') && isBegun !== true) {
      this.splitter = new eventSplitter.EventSplitter(MAXIMUM_EVENT_BYTES);
    } else if (events > 0 || isBegun === true) {
      this.reject(NOT_RESUMED);
    }
  }

  onData(chunk: Buffer): void {
    if (this.isSettled || !this.ports.isCurrent()) {
      return;
    }
    if (this.splitter !== undefined) {
      this.receiveEvents(this.splitter, chunk);
    } else {
      this.receiveBody(chunk);
    }
  }

  onEnd(): void {
    const { progress: delivered, reply } = this.ports;
    if (this.splitter !== undefined) {
      if (this.splitter.pendingBytes > 0) {
        this.end(CUT_INSIDE_EVENT);
        return;
      }
      if (this.head !== undefined) {
        reply.writeHead(this.head);
        this.pass(this.collected.take());
      }
      delivered.complete = (fields) => reply.end(fields);
    } else if (delivered.isStarted === true) {
      delivered.complete = (fields) => reply.end(fields);
    } else if (this.head !== undefined) {
      const { head } = this;
      const body = this.collected.take();
      this.keepUntilRead();
      delivered.complete = (fields) => reply.send(head, body, fields);
    }
    this.end();
  }

  onFailure(failure: verdict.RequestFailure, load: backend.RelayLoad | undefined): void {
    this.reportLoad(load);
    this.end(failure);
  }

  private receiveBody(chunk: Buffer): void {
    this.ports.onArrival();
    this.bodyBytes += chunk.length;
    if (this.bodyBytes > MAXIMUM_ANSWER_BYTES) {
      this.reject(TOO_LARGE);
    } else if (this.ports.progress.isStarted === true) {
      this.pass(chunk);
    } else if (!this.collected.add(chunk) || !this.hold(this.collected.size)) {
      this.begin(chunk);
    }
  }

  /** Passes on what was collected of an answer that is too large to be held until it is whole. */
  private begin(chunk: Buffer): void {
    const { reply, progress: delivered } = this.ports;
    const isAdded = this.collected.size === this.bodyBytes;
    delivered.isStarted = true;
    reply.writeHead(this.head!);
    const collected = this.collected.take();
    this.hold(0);
    this.pass(isAdded ? collected : Buffer.concat([collected, chunk]));
  }

  private receiveEvents(splitter: eventSplitter.EventSplitter, chunk: Buffer): void {
    this.idleBytes += chunk.length;
    try {
      this.deliver(this.newOf(splitter.push(chunk)));
    } catch {
      this.reject(TOO_LARGE_EVENT);
      return;
    }
    if (this.idleBytes > MAXIMUM_EVENT_BYTES) {
      this.reject(NO_EVENTS);
    } else if (!this.hold(splitter.pendingBytes + this.collected.size)) {
      this.reject(TOO_MUCH_HELD);
    }
  }

  /** A resumed stream may repeat events that were delivered before. */
  private newOf(events: readonly eventSplitter.StreamEvent[]): eventSplitter.StreamEvent[] {
    let { lastEventId } = this.ports.progress;
    return events.filter(({ id }) => {
      const isNew = id === undefined || lastEventId === undefined || id > lastEventId;
      lastEventId = isNew ? (id ?? lastEventId) : lastEventId;
      return isNew;
    });
  }

  /** Comments wait for the first event: until then the answer may still become another one. */
  private deliver(events: readonly eventSplitter.StreamEvent[]): void {
    const { progress: delivered, reply } = this.ports;
    const bytes = Buffer.concat(events.map((event) => event.bytes));
    const telling = events.filter(({ hasFields }) => hasFields);
    if (telling.length > 0) {
      this.idleBytes = 0;
      delivered.events += telling.length;
      delivered.lastEventId =
        telling.findLast(({ id }) => id !== undefined)?.id ?? delivered.lastEventId;
      this.ports.onArrival();
      this.ports.onEvent();
    }
    if (delivered.events === 0) {
      this.collected.add(bytes);
    } else if (events.length > 0) {
      reply.writeHead(this.head!);
      this.pass(Buffer.concat([this.collected.take(), bytes]));
    }
  }

  private pass(bytes: Buffer): void {
    if (!this.ports.reply.write(bytes, () => this.handle?.resume())) {
      this.handle?.pause();
    }
  }

  /** The body of a small answer stays in memory until the caller has read it. */
  private keepUntilRead(): void {
    const bytes = this.heldBytes;
    this.heldBytes = 0;
    this.ports.reply.onClosed(() =>
      this.ports.bufferBudget.resize(bufferBudget.BufferKind.Answer, bytes, 0),
    );
  }

  /** Changes what this attempt holds; false when all requests together would hold too much. */
  private hold(bytes: number): boolean {
    const kind =
      this.splitter === undefined ? bufferBudget.BufferKind.Answer : bufferBudget.BufferKind.Event;
    const mayHold = this.ports.bufferBudget.resize(kind, this.heldBytes, bytes);
    this.heldBytes = mayHold ? bytes : this.heldBytes;
    return mayHold;
  }

  private reportLoad(load: backend.RelayLoad | undefined): void {
    if (load !== undefined) {
      this.ports.onLoad(load);
    }
  }

  /** Gives up an answer that goes on arriving. */
  private reject(failure: verdict.RequestFailure): void {
    this.handle?.reject(failure);
    this.end(failure);
  }

  private end(failure?: verdict.RequestFailure): void {
    if (!this.isSettled) {
      this.isSettled = true;
      this.hold(0);
      const isFinal = failure !== undefined && this.ports.progress.isStarted === true;
      this.settle(isFinal ? { ...failure, verdict: Verdict.Ran } : failure);
    }
  }
}

/** A larger answer is passed on as it arrives. */
const MAXIMUM_COLLECTED_BYTES = 256 * 1_024;

/** An event carries a few tokens; this is far above any of them. */
const MAXIMUM_EVENT_BYTES = 256 * 1_024;

/** Far above what callers ask for; an answer beyond it has no end. */
const MAXIMUM_ANSWER_BYTES = 16 * 1_024 * 1_024;

const { FailureReason, Verdict } = verdict;

const CUT_INSIDE_EVENT = verdict.failure(
  FailureReason.StreamBroken,
  Verdict.MayHaveRun,
  'The stream ended inside an event.',
);

const NOT_RESUMED = verdict.failure(
  FailureReason.StreamBroken,
  Verdict.MayHaveRun,
  'The backend server did not go on with the stream.',
);

const TOO_LARGE_EVENT = verdict.failure(
  FailureReason.BackendError,
  Verdict.MayHaveRun,
  'An event of the stream is too large.',
  { garbled: true },
);

const NO_EVENTS = verdict.failure(
  FailureReason.BackendError,
  Verdict.MayHaveRun,
  'The stream goes on without an event.',
  { garbled: true },
);

const TOO_MUCH_HELD = verdict.failure(
  FailureReason.BackendError,
  Verdict.MayHaveRun,
  'This router holds too many unfinished events.',
);

const TOO_LARGE = verdict.failure(
  FailureReason.BackendError,
  Verdict.MayHaveRun,
  'The answer of the backend server is too large.',
);
