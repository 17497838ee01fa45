import * as clock from '../clock';
import * as daemon from '../daemon';
import * as logging from '../logging';

/** How long each part of a planned stop may take. */
export interface StopTimes {
  /** The load balancer notices within this time that the daemon is leaving. */
  readonly loadBalancerMilliseconds: number;
  /** Time for running requests to end after that. */
  readonly graceMilliseconds: number;
}

/**
 * Lets the load balancer notice that a daemon leaves, refuses new requests after that, and waits for the
 * running ones. Returns how many did not end in time.
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
