import * as clock from '../clock';
import * as daemon from '../daemon';
import * as logging from '../logging';

/** Longest duration of each phase of a graceful stop. */
export interface StopTimes {
  /** Time in which the load balancer detects that the daemon is leaving. */
  readonly loadBalancerMilliseconds: number;
  /** Time after that in which running requests may end. */
  readonly graceMilliseconds: number;
}

/**
 * Waits until the load balancer has detected that the daemon is leaving, then refuses new requests and waits for the
 * running ones. Returns the number of requests that did not end in time.
 */
export async function drain(
  readiness: daemon.Readiness,
  times: StopTimes,
  time: clock.Clock,
): Promise<number> {
  const wasReady = readiness.isReady;
  logger.information('graceful shutdown begins', { active: readiness.activeRequests });
  readiness.advance(daemon.DaemonStage.Leaving);
  await time.sleep(wasReady ? times.loadBalancerMilliseconds : 0);
  readiness.advance(daemon.DaemonStage.Draining);
  const end = time.monotonic() + times.graceMilliseconds;
  while (readiness.activeRequests > 0 && time.monotonic() < end) {
    await time.sleep(POLL_MILLISECONDS);
  }
  return readiness.activeRequests;
}

const logger = new logging.Logger('gateway');

const POLL_MILLISECONDS = 20;
