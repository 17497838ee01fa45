import * as crypto from 'node:crypto';
import * as configuration from '../../configuration';
import * as control from '../../control';

/** The bearer credential of a team of a measurement is this prefix and the name of the team. */
export const CREDENTIAL_PREFIX = 'credential-of-';

export const ENGINE_SERVICE = 'assistente-oficina';
export const PLAIN_SERVICE = 'balcao-compras';
export const INTENT = 'dealer-draft';
export const MODEL = 'emulated-model';

export function team(index: number): configuration.TeamDocument {
  const name = `team-${index}`;
  return configuration.teamSchema.parse({
    kind: configuration.DocumentKind.Team,
    name,
    credentialHashes: [configuration.hashCredential(`${CREDENTIAL_PREFIX}${name}`)],
    services: [ENGINE_SERVICE, PLAIN_SERVICE],
  });
}

/** The two present services, each with its intent or routes. */
export function services(slotsPerRunner: number): configuration.ConfigurationDocument[] {
  return [
    configuration.modelServiceSchema.parse({
      kind: configuration.DocumentKind.Service,
      type: configuration.ServiceType.ModelEngine,
      name: ENGINE_SERVICE,
      model: MODEL,
      weightsVersion: 'weights-1',
      slotsPerRunner,
      prefillTokensPerSecond: 10_000_000,
      decodeTokensPerSecond: 200,
    }),
    configuration.plainServiceSchema.parse({
      kind: configuration.DocumentKind.Service,
      type: configuration.ServiceType.Plain,
      name: PLAIN_SERVICE,
      routes: [{ path: '/orders', methods: ['GET'], idempotent: true }],
    }),
    intent(INTENT),
  ];
}

export function intent(name: string): configuration.ConfigurationDocument {
  return configuration.intentSchema.parse({
    kind: configuration.DocumentKind.Intent,
    name,
    service: ENGINE_SERVICE,
    class: configuration.RequestClass.Short,
    expectedOutputTokens: 16,
  });
}

export function publishCommand(
  baseRevision: number,
  upserts: readonly configuration.ConfigurationDocument[],
): control.PublishCommand {
  const publishId = crypto.randomUUID();
  const kind = control.CommandKind.Publish;
  return { kind, publishId, author: 'measurement', baseRevision, upserts, removals: [] };
}
