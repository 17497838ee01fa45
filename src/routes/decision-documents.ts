import * as configuration from '../configuration';
import type * as routingTable from './routing-table';

/** Properties of the engines that the routing table does not contain. */
export interface EngineProperties {
  /** Uncached prompt tokens that one backend server prefills in a second. */
  readonly prefillTokensPerSecond: number;
  /** Tokens that one backend server generates in a second for one request in a usual batch. */
  readonly decodeTokensPerSecond: number;
  /** Whether engines refuse orders with a lower fencing number than that of an earlier order. */
  readonly checksFencing: boolean;
}

/** Weights versions of one model. */
export interface ModelWeights {
  /** The desired version, if an operator has set one. */
  readonly desired?: string;
  /** Engines with an older version must get no requests. */
  readonly minimum?: string;
  /** Streams must no longer begin on engines with an older version. */
  readonly minimumStart?: string;
}

/**
 * Converts the services and teams of a routing table into configuration documents for the decision core and the order
 * core.
 *
 * @param weightsOf returns the weights versions of a model
 */
export function decisionSnapshot(
  table: routingTable.RoutingTable,
  engineProperties: EngineProperties,
  weightsOf: (model: string) => ModelWeights,
): configuration.ConfigurationSnapshot {
  const services = table.services
    .filter((service) => service.store === undefined)
    .map((service) => serviceDocument(service, engineProperties, weightsOf));
  const teams = (table.teams ?? []).map(teamDocument);
  const documents = [...services, ...teams].map(
    (document) => [configuration.documentKey(document), document] as const,
  );
  return { revision: table.version, documents: new Map(documents) };
}

function serviceDocument(
  { name, engine }: routingTable.RoutedService,
  engineProperties: EngineProperties,
  weightsOf: (model: string) => ModelWeights,
): configuration.ServiceDocument {
  const kind = configuration.DocumentKind.Service;
  if (engine === undefined) {
    const type = configuration.ServiceType.Plain;
    return { kind, name, type, routes: [], slotsPerRunner: DEFAULT_PLAIN_SLOTS };
  }
  const { desired, minimum, minimumStart } = weightsOf(engine.model);
  return {
    kind,
    name,
    type: configuration.ServiceType.ModelEngine,
    model: engine.model,
    weightsVersion: desired ?? FIRST_WEIGHTS_VERSION,
    ...(minimum === undefined ? {} : { minimumWeightsVersion: minimum }),
    ...(minimumStart === undefined ? {} : { minimumStartWeightsVersion: minimumStart }),
    slotsPerRunner: engine.slots,
    ...(engine.cacheTokens > 0 ? { cacheTokensPerRunner: engine.cacheTokens } : {}),
    ...engineProperties,
  };
}

function teamDocument(team: routingTable.RoutedTeam): configuration.TeamDocument {
  return {
    kind: configuration.DocumentKind.Team,
    name: team.name,
    share: 1,
    credentialHashes: [],
    services: [],
  };
}

/** Weights version of a model before an operator has set one. */
const FIRST_WEIGHTS_VERSION = '1';

/** Used until the answers of a plain service report how many requests it runs concurrently. */
const DEFAULT_PLAIN_SLOTS = 6;
