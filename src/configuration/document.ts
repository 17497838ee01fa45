import * as zod from 'zod';

/** Kind of a configuration document. */
export enum DocumentKind {
  Service = 'service',
  Team = 'team',
  Intent = 'intent',
}

/** Whether a service consists of model engines or is a plain HTTP service. */
export enum ServiceType {
  ModelEngine = 'model-engine',
  Plain = 'plain',
}

/** Whether a non-idempotent call must carry an idempotency key. */
export enum KeyRequirement {
  Required = 'required',
  Optional = 'optional',
}

/**
 * Format of an idempotency key. A UUID version 7 contains its creation time, so that a repeated request can
 * be rejected after the retention period; an opaque key cannot be distinguished from a new one by then.
 */
export enum KeyFormat {
  UuidVersion7 = 'uuid-v7',
  Opaque = 'opaque',
}

/** Queue in which a request waits; `Auto` decides by estimated cost. */
export enum RequestClass {
  Short = 'short',
  Long = 'long',
  Auto = 'auto',
}

/** Name of a document, unique in its kind. */
export const nameSchema = zod
  .string()
  .regex(/^[a-z][a-z0-9-]{0,62}$/, 'use 1 to 63 lower-case letters, digits and hyphens');

/** One route of a plain service. `path` is a prefix of whole segments, for example `/ledger/charges`. */
export const routeSchema = zod.strictObject({
  path: zod.string().regex(/^\/[A-Za-z0-9._~/-]*$/, 'use an absolute path such as /ledger/charges'),
  methods: zod.array(zod.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
  idempotent: zod.boolean(),
  key: zod
    .strictObject({
      requirement: zod.enum(KeyRequirement).default(KeyRequirement.Required),
      format: zod.enum(KeyFormat).default(KeyFormat.UuidVersion7),
    })
    .prefault({}),
  timeoutMilliseconds: zod.int().min(1).max(3_600_000).default(30_000),
});

/** A service of model engines, all of which run the same model and weights. */
export const modelServiceSchema = zod.strictObject({
  kind: zod.literal(DocumentKind.Service),
  name: nameSchema,
  type: zod.literal(ServiceType.ModelEngine),
  model: nameSchema,
  weightsVersion: zod.string().min(1).max(128),
  /** Engines with an older version get no requests. Versions that are not numbers are not compared. */
  minimumWeightsVersion: zod.string().min(1).max(128).optional(),
  /** Streams that have not begun on an engine with an older version are cancelled there and may be retried. */
  minimumStartWeightsVersion: zod.string().min(1).max(128).optional(),
  /** Requests that one runner executes at the same time. */
  slotsPerRunner: zod.int().min(1).max(1_024).default(8),
  /** Uncached prompt tokens that one runner processes in a second. */
  prefillTokensPerSecond: zod.int().min(1).default(8_000),
  /** Tokens that one runner generates in a second for one request. */
  decodeTokensPerSecond: zod.int().min(1).default(40),
  /** Cache size of one runner in tokens, for running requests and cached prompts; unlimited when absent. */
  cacheTokensPerRunner: zod.int().min(1).optional(),
  /** Whether the engines reject an order with an old fencing number. */
  checksFencing: zod.boolean().default(false),
});

/** A plain HTTP service. */
export const plainServiceSchema = zod.strictObject({
  kind: zod.literal(DocumentKind.Service),
  name: nameSchema,
  type: zod.literal(ServiceType.Plain),
  routes: zod.array(routeSchema).min(1),
  slotsPerRunner: zod.int().min(1).max(10_000).default(64),
});

/** A team: its fair share, its credentials and the services it may use. */
export const teamSchema = zod.strictObject({
  kind: zod.literal(DocumentKind.Team),
  name: nameSchema,
  /** Relative weight in fair sharing. */
  share: zod.number().positive().max(1_000).default(1),
  /** SHA-256 of each bearer credential, in lower-case hexadecimal. */
  credentialHashes: zod
    .array(zod.string().regex(/^[0-9a-f]{64}$/, 'use the SHA-256 of the credential in hexadecimal'))
    .min(1),
  services: zod.array(nameSchema).min(1),
});

/** A routing intent: the name that callers send as `model`, its service, and its latency targets. */
export const intentSchema = zod.strictObject({
  kind: zod.literal(DocumentKind.Intent),
  name: nameSchema,
  service: nameSchema,
  class: zod.enum(RequestClass).default(RequestClass.Auto),
  /** Latest acceptable time to the first token. */
  firstTokenMilliseconds: zod.int().min(1).max(3_600_000).default(10_000),
  /** Requests with a higher priority run first on an engine. */
  priority: zod.int().min(0).max(9).default(5),
  /** Estimate for requests that set no output limit. */
  expectedOutputTokens: zod.int().min(1).max(1_000_000).default(256),
});

/** Any configuration document. */
export const documentSchema = zod.union([
  zod.discriminatedUnion('type', [modelServiceSchema, plainServiceSchema]),
  teamSchema,
  intentSchema,
]);

export type RouteDocument = zod.infer<typeof routeSchema>;
export type ModelServiceDocument = zod.infer<typeof modelServiceSchema>;
export type PlainServiceDocument = zod.infer<typeof plainServiceSchema>;
export type ServiceDocument = ModelServiceDocument | PlainServiceDocument;
export type TeamDocument = zod.infer<typeof teamSchema>;
export type IntentDocument = zod.infer<typeof intentSchema>;
export type ConfigurationDocument = ServiceDocument | TeamDocument | IntentDocument;

/**
 * The key of a document in a snapshot.
 *
 * @example
 * documentKey({ kind: DocumentKind.Team, name: 'market-roasters' }); // 'team/market-roasters'
 */
export function documentKey(document: Pick<ConfigurationDocument, 'kind' | 'name'>): string {
  return `${document.kind}/${document.name}`;
}
