/** Read-only commands: `status`, `teams`, `services` and `history`. */
import * as configuration from '../configuration';
import * as failureOutcome from './failure-outcome';
import * as operatorApi from './operator-api';
import * as operatorClient from './operator-client';
import * as outcome from './outcome';

/** Shows the daemon that answers, its role in the control group, and all daemons that it lists. */
export async function status(client: operatorClient.OperatorClient): Promise<outcome.Outcome> {
  const answer = await client.status();
  if (answer.err) {
    return failureOutcome.ofFailure(answer.val);
  }
  return outcome.success(statusLines(answer.val), { status: answer.val });
}

/** Lists the teams of the active configuration. */
export async function teams(client: operatorClient.OperatorClient): Promise<outcome.Outcome> {
  return listDocuments(client, configuration.DocumentKind.Team, (revision, documents) => {
    const found = documents as configuration.TeamDocument[];
    const rows = found.map((team) => [
      team.name,
      String(team.share),
      String(team.credentialHashes.length),
      team.services.join(', '),
    ]);
    const lines = outcome.table(['TEAM', 'SHARE', 'CREDENTIALS', 'SERVICES'], rows);
    return outcome.success([...lines], { revision, teams: found });
  });
}

/** Lists the services of the active configuration with their models or routes. */
export async function services(client: operatorClient.OperatorClient): Promise<outcome.Outcome> {
  return listDocuments(client, configuration.DocumentKind.Service, (revision, documents) => {
    const found = documents as configuration.ServiceDocument[];
    const rows = found.map((service) => [service.name, service.type, serviceDetails(service)]);
    const lines = outcome.table(['SERVICE', 'TYPE', 'DETAILS'], rows);
    return outcome.success([...lines], { revision, services: found });
  });
}

/** Lists accepted publishes, newest first. */
export async function history(
  client: operatorClient.OperatorClient,
  limit: number,
): Promise<outcome.Outcome> {
  const answer = await client.history(limit);
  if (answer.err) {
    return failureOutcome.ofFailure(answer.val);
  }
  const { entries } = answer.val;
  const rows = entries.map((entry) => [
    String(entry.revision),
    new Date(entry.committedAtMilliseconds).toISOString(),
    entry.author,
    entry.publishId,
    [...entry.upserts.map((key) => `~ ${key}`), ...entry.removals.map((key) => `- ${key}`)].join(
      ', ',
    ),
  ]);
  const header = ['REVISION', 'TIME', 'AUTHOR', 'PUBLISH ID', 'CHANGES'];
  return outcome.success(outcome.table(header, rows), { entries });
}

async function listDocuments(
  client: operatorClient.OperatorClient,
  kind: configuration.DocumentKind,
  show: (
    revision: number,
    documents: readonly configuration.ConfigurationDocument[],
  ) => outcome.Outcome,
): Promise<outcome.Outcome> {
  const answer = await client.configuration();
  if (answer.err) {
    return failureOutcome.ofFailure(answer.val);
  }
  const documents = answer.val.documents
    .filter((entry) => entry.kind === kind)
    .sort((left, right) => (left.name < right.name ? -1 : 1));
  return show(answer.val.revision, documents);
}

function serviceDetails(service: configuration.ServiceDocument): string {
  if (service.type === configuration.ServiceType.ModelEngine) {
    return `model ${service.model}, weights ${service.weightsVersion}`;
  }
  return service.routes.map((route) => `${route.methods.join('|')} ${route.path}`).join(', ');
}

function statusLines(answer: operatorApi.StatusResponse): readonly string[] {
  const { control } = answer;
  const rows = answer.daemons.map((daemon) => [
    daemon.daemonId,
    daemon.zone,
    daemon.address === '' ? '-' : daemon.address,
    String(daemon.revision),
    daemon.connected
      ? 'connected'
      : `lost ${Math.round(daemon.millisecondsSinceHeard / 1_000)} s ago`,
  ]);
  return [
    `daemon ${answer.daemonId} (zone ${answer.zone}, region ${answer.region}): ${stageOf(answer)}`,
    `configuration: revision ${answer.revision}, content ${answer.contentHash}`,
    `control: ${control.role}, term ${control.term}, commit index ${control.commitIndex}, ` +
      `leader ${control.leaderReplicaId ?? 'unknown'}, ${control.voters.length} voters`,
    `requests: ${answer.runningRequests} running, ${answer.queuedRequests} queued`,
    ...answer.backendServers.map(
      (entry) =>
        `service ${entry.service}: ${entry.eligible} eligible, ${entry.suspected} suspected${otherWeights(entry)}`,
    ),
    ...outcome.table(['DAEMON', 'ZONE', 'ADDRESS', 'REVISION', 'LINK'], rows),
  ];
}

function otherWeights(entry: operatorApi.StatusResponse['backendServers'][number]): string {
  return entry.otherWeights === undefined ? '' : `, ${entry.otherWeights} with other weights`;
}

function stageOf(answer: operatorApi.StatusResponse): string {
  if (answer.shuttingDown) {
    return 'shutting down';
  }
  return answer.ready ? 'ready' : 'not ready';
}
