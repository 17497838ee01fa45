import * as backend from '../backend';
import * as logging from '../logging';
import * as verdict from '../verdict';
import * as eventSplitter from './event-splitter';
import type * as relayReply from './relay-reply';

/** How far the answer of one request was delivered, over all of its attempts. */
export interface Delivered {
  events: number;
  /** Id of the last event that the caller has. */
  lastEventId?: number;
  /** Ends the answer; set by the attempt that has the whole of it. */
  complete?: (fields: logging.LogFields) => void;
}

/** What the receiver of one attempt works with. */
export interface ReceiverPorts {
  readonly reply: relayReply.RelayReply;
  readonly delivered: Delivered;
  /** False once the attempt was cancelled or the request is over. */
  readonly isCurrent: () => boolean;
  readonly onEvent: () => void;
  /** Called for whatever arrives from the server. */
  readonly onArrival: () => void;
  readonly onLoad: (load: backend.RelayLoad) => void;
}

/**
 * Delivers the answer of one attempt. Whole answers are collected first, so that a broken one can be asked
 * for again; events of a stream are delivered one by one, each once. `settle` is called with the failure of
 * the attempt, or without one when its answer is complete.
 */
export class AnswerReceiver implements backend.RelayReceiver {
  handle: backend.RelayHandle | undefined;

  private head: backend.HttpHead | undefined;

  private splitter: eventSplitter.EventSplitter | undefined;

  private readonly chunks: Buffer[] = [];

  private size = 0;

  private isSettled = false;

  constructor(
    private readonly ports: ReceiverPorts,
    private readonly settle: (failure?: verdict.RequestFailure) => void,
  ) {}

  onHead(head: backend.HttpHead, load: backend.RelayLoad | undefined): void {
    this.head = head;
    this.ports.onArrival();
    this.reportLoad(load);
    const type = head.headers['content-type'] ?? '';
    if (head.status === 200 && type.startsWith('text/event-stream')) {
      this.splitter = new eventSplitter.EventSplitter(MAXIMUM_EVENT_BYTES);
    } else if (this.ports.delivered.events > 0) {
      this.reject(NOT_RESUMED);
    }
  }

  onData(chunk: Buffer): void {
    this.ports.onArrival();
    if (this.isSettled || !this.ports.isCurrent()) {
      return;
    }
    if (this.splitter !== undefined) {
      this.receiveEvents(this.splitter, chunk);
      return;
    }
    this.size += chunk.length;
    this.chunks.push(chunk);
    if (this.size > MAXIMUM_ANSWER_BYTES) {
      this.reject(TOO_LARGE);
    }
  }

  onEnd(): void {
    const { delivered, reply } = this.ports;
    if (this.splitter !== undefined) {
      if (this.splitter.pendingBytes > 0) {
        this.end(CUT_INSIDE_EVENT);
        return;
      }
      if (this.head !== undefined) {
        reply.head(this.head);
      }
      delivered.complete = (fields) => reply.end(fields);
    } else if (this.head !== undefined) {
      const { head } = this;
      const body = Buffer.concat(this.chunks);
      delivered.complete = (fields) => reply.send(head, body, fields);
    }
    this.end();
  }

  onFailure(failure: verdict.RequestFailure, load: backend.RelayLoad | undefined): void {
    this.reportLoad(load);
    this.end(failure);
  }

  private receiveEvents(splitter: eventSplitter.EventSplitter, chunk: Buffer): void {
    try {
      const events = splitter.push(chunk).filter((event) => this.isNew(event));
      this.deliver(events);
    } catch (error) {
      this.reject({ ...CUT_INSIDE_EVENT, message: (error as Error).message });
    }
  }

  /** A resumed stream may repeat events that were delivered before. */
  private isNew({ id }: eventSplitter.StreamEvent): boolean {
    const { lastEventId } = this.ports.delivered;
    return id === undefined || lastEventId === undefined || id > lastEventId;
  }

  private deliver(events: readonly eventSplitter.StreamEvent[]): void {
    const { reply, delivered } = this.ports;
    if (events.length === 0 || this.head === undefined) {
      return;
    }
    reply.head(this.head);
    delivered.events += events.length;
    delivered.lastEventId = events.at(-1)?.id ?? delivered.lastEventId;
    this.ports.onEvent();
    const bytes = Buffer.concat(events.map((event) => event.bytes));
    if (!reply.write(bytes, () => this.handle?.resume())) {
      this.handle?.pause();
    }
  }

  private reportLoad(load: backend.RelayLoad | undefined): void {
    if (load !== undefined) {
      this.ports.onLoad(load);
    }
  }

  /** Gives up an answer that goes on arriving. */
  private reject(failure: verdict.RequestFailure): void {
    this.end(failure);
    this.handle?.cancel();
  }

  private end(failure?: verdict.RequestFailure): void {
    if (!this.isSettled) {
      this.isSettled = true;
      this.settle(failure);
    }
  }
}

/** An event carries a few tokens; this is far above any of them. */
const MAXIMUM_EVENT_BYTES = 256 * 1_024;

/** Whole answers are held in memory until they are complete. */
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

const TOO_LARGE = verdict.failure(
  FailureReason.BackendError,
  Verdict.MayHaveRun,
  'The answer of the backend server is too large.',
);
