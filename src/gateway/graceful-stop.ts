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
  const end = endOf(times, time.monotonic());
  logger.information('graceful shutdown begins', { active: readiness.activeRequests });
  readiness.advance(daemon.DaemonStage.Leaving);
  await time.sleep(wasReady ? times.loadBalancerMilliseconds : 0);
  readiness.advance(daemon.DaemonStage.Draining);
  while (readiness.activeRequests > 0 && time.monotonic() < end) {
    await time.sleep(POLL_MILLISECONDS);
  }
  return readiness.activeRequests;
}

/**
 * Monotonic time in milliseconds at which a stop that begins at `startedAt` interrupts what still runs. The platform counts from
 * the begin too, whatever is late in between.
 *
 * @example
 * endOf({ loadBalancerMilliseconds: 2_500, graceMilliseconds: 4_800 }, 1_000); // 8_300
 */
export function endOf(times: StopTimes, startedAt: number): number {
  return startedAt + times.loadBalancerMilliseconds + times.graceMilliseconds;
}

const logger = new logging.Logger('gateway');

const POLL_MILLISECONDS = 20;
