/** Limits on time and size that protect the router from a faulty backend server. */
export interface BackendLimits {
  readonly connectMilliseconds: number;
  /** Time without a complete comment or event after which the stream of an engine fails as silent. */
  readonly silenceMilliseconds: number;
  /** Time for a whole management call: load, probe, order, cache events, cancel, list. */
  readonly managementMilliseconds: number;
  readonly idleConnectionMilliseconds: number;
  /** Idle connections kept for one server. */
  readonly maximumIdleConnections: number;
  readonly maximumHeaderBytes: number;
  /**
   * Bytes of an answer that are not part of its body; the limit grows with the body, since each chunk has a
   * size line.
   */
  readonly maximumFramingBytes: number;
  /** Largest event of a stream. */
  readonly maximumEventBytes: number;
  /** Received but not consumed bytes of a stream above which reading pauses. */
  readonly maximumBufferedBytes: number;
  /** Largest answer of a plain service. */
  readonly maximumAnswerBytes: number;
  /** Largest answer to a management call, and largest body of a refusal. */
  readonly maximumManagementBytes: number;
}

/**
 * The limits that the daemon uses.
 *
 * @example
 * new HttpPlainService(address, { ...DEFAULT_LIMITS, maximumAnswerBytes: 1_024 }, systemClock);
 */
export const DEFAULT_LIMITS: BackendLimits = {
  // Allows one SYN retransmission (after 1 s) and a round trip between regions.
  connectMilliseconds: 1_500,
  // Engines send a comment line every second; three missed ones count as silence. The other 250 ms
  // allow for delay in the network and in the engine's event loop.
  silenceMilliseconds: 3_250,
  managementMilliseconds: 2_000,
  // Shorter than the 15 s for which a backend server has to keep an idle connection open.
  idleConnectionMilliseconds: 10_000,
  maximumIdleConnections: 64,
  maximumHeaderBytes: 32 * 1_024,
  // The headers, and the same again for the status line, line ends and interim answers.
  maximumFramingBytes: 64 * 1_024,
  maximumEventBytes: 1_024 * 1_024,
  maximumBufferedBytes: 1_024 * 1_024,
  maximumAnswerBytes: 16 * 1_024 * 1_024,
  maximumManagementBytes: 4 * 1_024 * 1_024,
};
