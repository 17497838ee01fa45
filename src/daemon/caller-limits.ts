/** Limits on the resources that callers can occupy. Times are in milliseconds. */
export interface CallerLimits {
  readonly bodyBytes: number;
  /** Total size of the bodies that are received at the same time. */
  readonly concurrentBodyBytes: number;
  /** Time from the first byte of a connection to the end of the request headers. */
  readonly headersMilliseconds: number;
  /** Time until the whole request, with its body, has arrived. */
  readonly requestMilliseconds: number;
  /** Time that a connection may be kept open between two requests. */
  readonly idleMilliseconds: number;
  /** Time that a write to a caller may block before its connection is closed. */
  readonly writeTimeoutMilliseconds: number;
  /** Idle time of a stream after which a keep-alive comment is sent. */
  readonly commentMilliseconds: number;
}

/** Limits of the daemon; tests use shorter times. */
export const DEFAULT_LIMITS: CallerLimits = {
  // A history of 200,000 tokens is about 1 MB of text; images in messages make requests larger.
  bodyBytes: 16 * 1_024 * 1_024,
  // Eight of the largest bodies at a time, a small part of the memory of an entry VM.
  concurrentBodyBytes: 8 * 16 * 1_024 * 1_024,
  headersMilliseconds: 10_000,
  requestMilliseconds: 30_000,
  // Longer than the 60 s after which load balancers commonly drop an idle connection, so that the
  // balancer closes first and never sends a request into a closing connection.
  idleMilliseconds: 65_000,
  writeTimeoutMilliseconds: 30_000,
  commentMilliseconds: 5_000,
};
