/** Waits until the daemons have applied a revision. */
import * as clock from '../clock';
import * as operatorApi from './operator-api';
import * as operatorClient from './operator-client';

/** Which daemons have applied a revision when the wait ends. */
export interface Propagation {
  /** Live daemons that report the revision or a higher one. */
  readonly applied: readonly operatorApi.DaemonRevision[];
  /** Live daemons that report a lower revision. */
  readonly lagging: readonly operatorApi.DaemonRevision[];
  /** Daemons without a link; they apply the revision after they reconnect. */
  readonly disconnected: readonly operatorApi.DaemonRevision[];
  /** Why the last poll has no answer; the lists are then those of an earlier poll. */
  readonly failure?: operatorClient.ClientFailure;
}

/**
 * Polls until no live daemon lags or the timeout expires. A daemon counts as live while the daemon that
 * answers has a link to it.
 *
 * @example
 * const { lagging } = await waitForRevision(client, 12, new SystemClock(), 15_000);
 */
export async function waitForRevision(
  client: operatorClient.OperatorClient,
  revision: number,
  time: clock.Clock,
  timeoutMilliseconds: number,
): Promise<Propagation> {
  const end = time.monotonic() + timeoutMilliseconds;
  let current = await poll(client, revision, EMPTY_PROPAGATION);
  while (!isComplete(current) && time.monotonic() < end) {
    await time.sleep(POLL_INTERVAL_MILLISECONDS);
    current = await poll(client, revision, current);
  }
  return current;
}

/** Whether every live daemon reports the revision. */
export function isComplete(propagation: Propagation): boolean {
  return propagation.failure === undefined && propagation.lagging.length === 0;
}

const POLL_INTERVAL_MILLISECONDS = 250;

const EMPTY_PROPAGATION: Propagation = { applied: [], lagging: [], disconnected: [] };

async function poll(
  client: operatorClient.OperatorClient,
  revision: number,
  previous: Propagation,
): Promise<Propagation> {
  const answer = await client.revisions();
  if (answer.err) {
    return { ...previous, failure: answer.val };
  }
  const { daemons } = answer.val;
  const live = daemons.filter((daemon) => daemon.connected);
  return {
    applied: live.filter((daemon) => daemon.revision >= revision),
    lagging: live.filter((daemon) => daemon.revision < revision),
    disconnected: daemons.filter((daemon) => !daemon.connected),
  };
}
