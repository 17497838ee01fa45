/** Names of the histograms; times are in milliseconds, token counts in tokens. */
export enum Histogram {
  FirstToken = 'first_token_milliseconds',
  BetweenTokens = 'between_tokens_milliseconds',
  QueueTime = 'queue_milliseconds',
  RequestTime = 'request_milliseconds',
  CachedTokens = 'cached_tokens',
  RecomputedTokens = 'recomputed_tokens',
}

/** Names of the counters. */
export enum Counter {
  Requests = 'requests',
  Failures = 'failures',
  Resumes = 'resumes',
  Hedges = 'hedges',
  Refusals = 'refusals',
  /** Attempts that failed because the server sent a malformed answer. */
  MalformedAnswers = 'garbled_answers',
  /** Attempts that were given up although they had not failed by themselves. */
  CancelledAttempts = 'cancelled_attempts',
  /** Streams that no server went on with after their callers had received a part. */
  CutStreams = 'cut_streams',
  /** Attempts at servers whose weights version was unknown; they share cached parts only at that server. */
  UnknownWeights = 'unknown_weights',
  /** Bodies that were refused, and connections that were closed, to stay within memory and descriptors. */
  MemoryRefusals = 'memory_refusals',
}

/** Names of the gauges, each with its unit. */
export enum Gauge {
  /** Largest delay of a timer in the last window. */
  TimerLateness = 'timer_lateness_milliseconds',
  /** Processor time since the start of the process. */
  ProcessorTime = 'processor_milliseconds',
  ResidentBytes = 'resident_bytes',
  /** Upper bound of the age of the copy of the configuration; -1 while it is unknown. */
  CopyAge = 'copy_age_milliseconds',
  /** Version of the routing document in this daemon's copy. */
  RoutingVersion = 'routing_version',
  /** Revision of the configuration in this daemon's copy. */
  Revision = 'revision',
  /** Bytes held for callers and servers, by kind (see `MemoryKind`). */
  ConnectionBytes = 'held_connection_bytes',
  HeadBytes = 'held_head_bytes',
  UnfinishedBodyBytes = 'held_unfinished_body_bytes',
  RequestBytes = 'held_request_bytes',
  AnswerBytes = 'held_answer_bytes',
  EventBytes = 'held_event_bytes',
}

/** Tags that split a histogram or counter. */
export interface MetricTags {
  readonly team?: string;
  readonly class?: string;
  readonly service?: string;
  readonly verdict?: string;
  readonly reason?: string;
}

/** Port for metrics. Implementations never throw and never block the caller. */
export abstract class Metrics {
  /**
   * Adds one observation to a histogram.
   *
   * @example
   * metrics.observe(Histogram.FirstToken, 412, { team: 'market-roasters', class: 'short' });
   */
  abstract observe(histogram: Histogram, value: number, tags: MetricTags): void;

  /** Adds to a counter. */
  abstract count(counter: Counter, tags: MetricTags, amount?: number): void;

  /** Replaces the value of a gauge. */
  abstract set(gauge: Gauge, value: number): void;

  /** Sends buffered measurements and closes the socket. */
  abstract close(): Promise<void>;
}
