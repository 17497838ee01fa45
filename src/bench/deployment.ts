import * as backend from '../backend';
import * as configuration from '../configuration';
import * as membership from '../membership';
import type * as fakeEngine from './fake-engine';

/** Size of one user's deployment (docs/design.md, 1.2). Each availability zone is in a separate region. */
export interface Deployment {
  readonly name: string;
  readonly service: string;
  readonly zones: readonly string[];
  readonly zoneDelayMilliseconds: number;
  readonly regionDelayMilliseconds: number;
  readonly clientDelayMilliseconds: number;
  readonly runners: number;
  readonly daemons: number;
  readonly engine: fakeEngine.EngineParameters;
  /** Mean blocks of the three nested levels of prefixes. */
  readonly levels: readonly [preamble: number, rules: number, history: number];
  readonly tenantsPerTeam: number;
  readonly historiesPerTenant: number;
  readonly meanOutputPieces: number;
  /** Weight of each team, in traffic and in fair sharing. */
  readonly teams: readonly number[];
  readonly firstTokenMilliseconds: number;
}

const REGION_DELAY_MILLISECONDS = 8;

/** Inspection desk of the Sack Works: medium prompts, short replies. */
export const SACK_WORKS: Deployment = {
  name: 'sack-works',
  service: 'inspection-desk',
  zones: ['pl-caudan', 'cp-forest', 'mb-waterfront'],
  zoneDelayMilliseconds: 0.5,
  regionDelayMilliseconds: REGION_DELAY_MILLISECONDS,
  clientDelayMilliseconds: 3,
  runners: 6,
  daemons: 6,
  engine: {
    slots: 8,
    prefillTokensPerSecond: 8_000,
    pieceMilliseconds: 100,
    cacheBlocks: 200,
  },
  levels: [2, 3, 5],
  tenantsPerTeam: 4,
  historiesPerTenant: 12,
  meanOutputPieces: 15,
  teams: [6, 4, 3, 1, 1, 1, 1, 1],
  firstTokenMilliseconds: 5_000,
};

/** Workshop assistant of the Associação: long drawing packages. */
export const ASSOCIACAO: Deployment = {
  ...SACK_WORKS,
  name: 'associacao',
  service: 'assistente-oficina',
  zones: ['caxias-a', 'joinville-a', 'londrina-a'],
  zoneDelayMilliseconds: 1.5,
  clientDelayMilliseconds: 1,
  runners: 8,
  daemons: 8,
  engine: { ...SACK_WORKS.engine, cacheBlocks: 260 },
  levels: [2, 4, 8],
  tenantsPerTeam: 5,
  historiesPerTenant: 10,
  meanOutputPieces: 20,
  teams: [8, 5, 3, 1, 1, 1, 1, 1],
  firstTokenMilliseconds: 6_000,
};

export const DEPLOYMENTS: readonly Deployment[] = [SACK_WORKS, ASSOCIACAO];

export function zoneOf(deployment: Deployment, index: number): string {
  return deployment.zones[index % deployment.zones.length];
}

/** One-way delay in milliseconds between two zones of a deployment. */
export function delay(deployment: Deployment, from: string, to: string): number {
  return from === to ? 0 : deployment.zoneDelayMilliseconds + deployment.regionDelayMilliseconds;
}

/** The configuration that the operators of a deployment would publish. */
export function snapshotOf(deployment: Deployment): configuration.ConfigurationSnapshot {
  const { engine } = deployment;
  const service = configuration.modelServiceSchema.parse({
    kind: configuration.DocumentKind.Service,
    type: configuration.ServiceType.ModelEngine,
    name: deployment.service,
    model: 'model',
    weightsVersion: WEIGHTS_VERSION,
    slotsPerRunner: engine.slots,
    prefillTokensPerSecond: engine.prefillTokensPerSecond,
    decodeTokensPerSecond: Math.round((TOKENS_PER_OUTPUT_PIECE * 1_000) / engine.pieceMilliseconds),
  });
  const teams = deployment.teams.map((share, index) =>
    configuration.teamSchema.parse({
      kind: configuration.DocumentKind.Team,
      name: teamName(index),
      share,
      credentialHashes: ['0'.repeat(64)],
      services: [deployment.service],
    }),
  );
  const documents = [service, ...teams].map(
    (document) => [configuration.documentKey(document), document] as const,
  );
  return { revision: 1, documents: new Map(documents) };
}

/** The servers as membership would list them. */
export function serversOf(
  deployment: Deployment,
  engines: readonly fakeEngine.FakeEngine[],
): membership.EligibleServer[] {
  return engines
    .filter((engine) => engine.alive)
    .map((engine, index) => ({
      id: engine.id,
      host: '127.0.0.1',
      port: index + 1,
      zone: engine.zone,
      region: engine.zone,
      service: deployment.service,
      kind: backend.BackendKind.ModelEngine,
      phase: backend.MachinePhase.Live,
      incarnation: engine.incarnation,
      suspected: false,
    }));
}

export function teamName(index: number): string {
  return `team-${index}`;
}

export const WEIGHTS_VERSION = 'v1';
/** Tokens in one piece of output; fewer events than with one for each token, at the same speed. */
export const TOKENS_PER_OUTPUT_PIECE = 4;
