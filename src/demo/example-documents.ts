import * as configuration from '../configuration';

/** Credentials of the two teams; fixed, because they are valid only for daemons on this machine. */
export const TEAM_TOKENS = {
  depot: 'figline_demo_depot_credential',
  treasury: 'figline_demo_treasury_credential',
};

export const MODEL_SERVICE = configuration.modelServiceSchema.parse({
  kind: 'service',
  name: 'inspection-desk',
  type: 'model-engine',
  model: 'sack-reader',
  weightsVersion: 'weights-1',
  slotsPerRunner: 8,
});

/** Options of emulated engines that run the model of this service. */
export const ENGINE_OPTIONS = {
  model: MODEL_SERVICE.model,
  weightsVersion: MODEL_SERVICE.weightsVersion,
  decodeTokensPerSecond: 200,
};

export const PLAIN_SERVICE = configuration.plainServiceSchema.parse({
  kind: 'service',
  name: 'sack-ledger',
  type: 'plain',
  routes: [
    { path: '/ledger/charges', methods: ['POST'], idempotent: false },
    { path: '/ledger/balances', methods: ['GET'], idempotent: true },
  ],
});

export const INTENT = configuration.intentSchema.parse({
  kind: 'intent',
  name: 'history-reading',
  service: MODEL_SERVICE.name,
});

/** Two teams that share a model service and a plain service. */
export const DOCUMENTS: readonly configuration.ConfigurationDocument[] = [
  MODEL_SERVICE,
  PLAIN_SERVICE,
  INTENT,
  team('depot', TEAM_TOKENS.depot),
  team('treasury', TEAM_TOKENS.treasury),
];

function team(name: string, token: string): configuration.TeamDocument {
  return configuration.teamSchema.parse({
    kind: 'team',
    name,
    credentialHashes: [configuration.hashCredential(token)],
    services: [MODEL_SERVICE.name, PLAIN_SERVICE.name],
  });
}
