import * as logging from '../logging';
import * as membership from '../membership';

/**
 * Whether the eligible servers changed. Compares one server for most events: with thousands of servers and
 * many probes per second, comparing all of them would take more processor time than a daemon may use.
 */
export function changesServers(
  step: ReturnType<typeof membership.update>,
  event: membership.MembershipEvent,
): boolean {
  const { startState, state } = step;
  const { ListRead, PeerReported, Tick } = membership.MembershipEventKind;
  if (state === startState || event.kind === Tick) {
    return false;
  }
  if (event.kind === ListRead) {
    return differs(membership.eligible(startState), membership.eligible(state));
  }
  const id = event.kind === PeerReported ? event.report.serverId : event.serverId;
  return differs(
    [membership.eligibleServer(startState, id)],
    [membership.eligibleServer(state, id)],
  );
}

/** Logs a line for each server that became eligible or ineligible for new requests or changed its state. */
export function logChanges(
  before: readonly membership.EligibleServer[],
  after: readonly membership.EligibleServer[],
): void {
  const removed = new Map(before.map((server) => [server.id, server]));
  after.forEach((server) => {
    const previous = removed.get(server.id);
    removed.delete(server.id);
    if (previous === server) {
      return;
    }
    if (previous === undefined || stateOf(previous) !== stateOf(server)) {
      const {
        id: backendServer,
        service,
        softwareVersion,
        weightsVersion,
        loading,
        suspected,
      } = server;
      const versions = { softwareVersion, weightsVersion };
      const state = { backendServer, service, ...versions, loading, suspected };
      logger.information(
        previous === undefined ? 'server takes work' : 'state of a server changed',
        state,
      );
    }
  });
  removed.forEach(({ service }, backendServer) =>
    logger.information('server takes no work', { backendServer, service }),
  );
}

function stateOf(server: membership.EligibleServer): string {
  const { softwareVersion, weightsVersion, loading, suspected } = server;
  return `${softwareVersion} ${weightsVersion} ${loading} ${suspected}`;
}

/** Compares the texts of those servers only that are not the same object. */
function differs(
  before: readonly (membership.EligibleServer | undefined)[],
  after: readonly (membership.EligibleServer | undefined)[],
): boolean {
  return (
    before.length !== after.length ||
    before.some(
      (server, index) =>
        server !== after[index] && JSON.stringify(server) !== JSON.stringify(after[index]),
    )
  );
}

const logger = new logging.Logger('membership');
