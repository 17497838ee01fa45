/**
 * The operator HTTP interface: the schemas that the `figline` command and the daemon share. Every daemon
 * serves it on `--operator-listen`; every request has `authorization: Bearer <operator token>`. Bodies
 * are JSON. The command validates every answer, and the daemon every request, with these schemas.
 */
import * as zod from 'zod';
import * as configuration from '../configuration';
import * as control from '../control';

/** Paths of the operator interface. */
export enum OperatorPath {
  /** GET, answers `StatusResponse`. */
  Status = '/operator/status',
  /** GET, answers `ConfigurationResponse` for the active revision of the daemon that answers. */
  Configuration = '/operator/configuration',
  /** POST of a `PublishRequest`, answers `PublishResponse`. */
  Publish = '/operator/publish',
  /** GET with the query `limit`, answers `HistoryResponse`. */
  History = '/operator/history',
  /** GET, answers `RevisionsResponse`; cheap enough to poll after a publish. */
  Revisions = '/operator/revisions',
}

/**
 * Machine-readable reason of an `ErrorResponse`. `ERROR_STATUS` gives the HTTP status of each.
 */
export enum OperatorErrorCode {
  /** No bearer token, or none that the daemon's token file contains. */
  Unauthorized = 'unauthorized',
  /** The body or query does not match its schema, or the documents fail `checkDocuments`. */
  Invalid = 'invalid',
  /** No control leader is reachable: the publish may or may not be committed later. */
  NoMajority = 'no-majority',
  /** The proposal got no answer in time: the publish may or may not be committed. */
  Timeout = 'timeout',
  /** The daemon is shutting down: the publish may or may not be committed. */
  ShuttingDown = 'shutting-down',
  NotFound = 'not-found',
  Internal = 'internal',
}

/** HTTP status of each error. */
export const ERROR_STATUS: Readonly<Record<OperatorErrorCode, number>> = {
  [OperatorErrorCode.Unauthorized]: 401,
  [OperatorErrorCode.Invalid]: 422,
  [OperatorErrorCode.NoMajority]: 503,
  [OperatorErrorCode.Timeout]: 504,
  [OperatorErrorCode.ShuttingDown]: 503,
  [OperatorErrorCode.NotFound]: 404,
  [OperatorErrorCode.Internal]: 500,
};

const revisionSchema = zod.int().min(0);
const shortTextSchema = zod.string().min(1).max(256);

/** Body of every response that is neither 200 nor 409. */
export const errorResponseSchema = zod.object({
  code: zod.enum(OperatorErrorCode),
  message: zod.string(),
  /** One sentence for each problem of an invalid request. */
  problems: zod.array(zod.string()).default([]),
});

/** Role of a daemon in the control group, as in `control.ControlStatus`. */
export const controlStatusSchema = zod.object({
  role: zod.enum(control.ReplicaRole),
  replicaId: zod.string().optional(),
  leaderReplicaId: zod.string().optional(),
  term: zod.int().min(0),
  commitIndex: zod.int().min(0),
  voters: zod.array(zod.string()),
});

/** One daemon, as the daemon that answers lists it. */
export const daemonRevisionSchema = zod.object({
  daemonId: zod.string(),
  zone: zod.string(),
  /** Address of its peer listener; empty for the daemon that answers. */
  address: zod.string(),
  /** Highest revision that it reported as applied. */
  revision: revisionSchema,
  /** False when the daemon that answers has no link to it; always true for the latter itself. */
  connected: zod.boolean(),
  /** 0 for the daemon that answers. */
  millisecondsSinceHeard: zod.number().min(0),
});

/** Answer of `GET /operator/revisions`: the daemon that answers first, then its peers. */
export const revisionsResponseSchema = zod.object({
  daemons: zod.array(daemonRevisionSchema).min(1),
});

/** Answer of `GET /operator/status`. */
export const statusResponseSchema = zod.object({
  daemonId: zod.string(),
  zone: zod.string(),
  region: zod.string(),
  ready: zod.boolean(),
  shuttingDown: zod.boolean(),
  uptimeMilliseconds: zod.number().min(0),
  revision: revisionSchema,
  /** `configuration.contentHash` of the active documents; equal on all daemons of one revision. */
  contentHash: zod.string(),
  control: controlStatusSchema,
  /** The daemon that answers first, then its peers. */
  daemons: zod.array(daemonRevisionSchema).min(1),
  /** Requests of callers that wait in queues, and those that run at backend servers. */
  queuedRequests: zod.int().min(0),
  runningRequests: zod.int().min(0),
  /** Backend servers of each service that may get new requests. */
  backendServers: zod.array(
    zod.object({
      service: zod.string(),
      eligible: zod.int().min(0),
      /** Engines that report other weights than the service's document. */
      otherWeights: zod.int().min(0).optional(),
      suspected: zod.int().min(0),
    }),
  ),
});

/** Answer of `GET /operator/configuration`. */
export const configurationResponseSchema = zod.object({
  revision: revisionSchema,
  contentHash: zod.string(),
  documents: zod.array(configuration.documentSchema),
});

/** Body of `POST /operator/publish`. The daemon proposes it as a `control.PublishCommand`. */
export const publishRequestSchema = zod.strictObject({
  /** Random and generated once for each publish; a repeated request with the same id gets the first result. */
  publishId: zod.uuid(),
  author: shortTextSchema,
  baseRevision: revisionSchema,
  upserts: zod.array(configuration.documentSchema),
  /** Keys (`configuration.documentKey`) of documents to remove. */
  removals: zod.array(shortTextSchema),
});

/** Status 200: a majority has the revision on disk. */
export const publishAcceptedSchema = zod.object({
  outcome: zod.literal(control.CommandResultKind.PublishAccepted),
  revision: revisionSchema,
});

/** Status 409: another publish was accepted on the same base revision. */
export const publishConflictSchema = zod.object({
  outcome: zod.literal(control.CommandResultKind.PublishConflict),
  currentRevision: revisionSchema,
  winnerPublishId: zod.string(),
  winnerAuthor: zod.string(),
});

/** Answer of `POST /operator/publish` with status 200 or 409. */
export const publishResponseSchema = zod.discriminatedUnion('outcome', [
  publishAcceptedSchema,
  publishConflictSchema,
]);

/** One accepted publish. */
export const historyEntrySchema = zod.object({
  revision: revisionSchema,
  publishId: zod.string(),
  author: zod.string(),
  /** Leader's time in the log entry, in milliseconds since the Unix epoch. */
  committedAtMilliseconds: zod.number().min(0),
  /** Keys of the documents that it added or changed, and that it removed. */
  upserts: zod.array(zod.string()),
  removals: zod.array(zod.string()),
});

/** Answer of `GET /operator/history`: newest first. */
export const historyResponseSchema = zod.object({ entries: zod.array(historyEntrySchema) });

/** Query of `GET /operator/history`. */
export const historyQuerySchema = zod.object({
  limit: zod.coerce.number().int().min(1).max(1_000).default(20),
});

export type ErrorResponse = zod.infer<typeof errorResponseSchema>;
export type DaemonRevision = zod.infer<typeof daemonRevisionSchema>;
export type RevisionsResponse = zod.infer<typeof revisionsResponseSchema>;
export type StatusResponse = zod.infer<typeof statusResponseSchema>;
export type ConfigurationResponse = zod.infer<typeof configurationResponseSchema>;
export type PublishRequest = zod.infer<typeof publishRequestSchema>;
export type PublishResponse = zod.infer<typeof publishResponseSchema>;
export type HistoryEntry = zod.infer<typeof historyEntrySchema>;
export type HistoryResponse = zod.infer<typeof historyResponseSchema>;

/**
 * Largest body of a publish request. A log entry and a peer frame hold at most 16 MiB, and CBOR is a
 * little smaller than JSON.
 */
export const MAXIMUM_PUBLISH_BODY_BYTES = 8 * 1_024 * 1_024;

/** How long the daemon waits for a majority before it answers `timeout`. */
export const PUBLISH_PROPOSAL_TIMEOUT_MILLISECONDS = 5_000;

/**
 * Port for the publishes that the control state keeps, with author, time and publish id. The
 * daemon answers `GET /operator/history` from it.
 */
export abstract class RevisionHistory {
  /** The newest `limit` accepted publishes, newest first. */
  abstract recent(limit: number): readonly HistoryEntry[];
}
