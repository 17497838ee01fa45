import * as configuration from '../configuration';
import type * as cacheSharing from './cache-sharing';

/** Kinds of commands in the replicated log. */
export enum CommandKind {
  Publish = 'publish',
  Claim = 'claim',
  CompleteClaim = 'complete-claim',
  AbandonClaim = 'abandon-claim',
  PutRouting = 'put-routing',
  SetDesiredWeights = 'name-weights',
  ReadRegister = 'read-register',
  RecordOrders = 'record-orders',
  ChangeSoftwareVersions = 'change-software-versions',
  RecordStreams = 'record-streams',
  FindStreams = 'find-streams',
  NoOperation = 'no-operation',
}

/** Commits a set of changed documents as the next revision. */
export interface PublishCommand {
  readonly kind: CommandKind.Publish;
  /** Chosen by the publisher; a repeated id gets the first result again. */
  readonly publishId: string;
  readonly author: string;
  /** The revision that the changes were made against. */
  readonly baseRevision: number;
  readonly upserts: readonly configuration.ConfigurationDocument[];
  readonly removals: readonly string[];
}

/** Reserves an idempotency key for one attempt before the first byte of its request is sent. */
export interface ClaimCommand {
  readonly kind: CommandKind.Claim;
  readonly team: string;
  readonly key: string;
  /** Chosen by the router, unique for each attempt. */
  readonly attemptId: string;
  /** Hash of method, path and body: another request under the same key is refused. */
  readonly fingerprint: string;
  readonly daemonId: string;
  /** A key of format `opaque` never expires, even when it looks like a UUID version 7. */
  readonly keyFormat?: configuration.KeyFormat;
}

/** The answer of a non-idempotent request, kept for resends. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** At most `MAXIMUM_RECORDED_BODY_BYTES`. */
  readonly body: Uint8Array;
}

/** Records that a claimed request was executed, with its answer when that is small enough. */
export interface CompleteClaimCommand {
  readonly kind: CommandKind.CompleteClaim;
  readonly team: string;
  readonly key: string;
  readonly attemptId: string;
  readonly answer?: RecordedAnswer;
}

/** Releases a key after an attempt that certainly did not run. */
export interface AbandonClaimCommand {
  readonly kind: CommandKind.AbandonClaim;
  readonly team: string;
  readonly key: string;
  readonly attemptId: string;
}

/** Makes a routing document the active one if its version is the highest so far. */
export interface PutRoutingCommand {
  readonly kind: CommandKind.PutRouting;
  readonly version: number;
  readonly text: string;
  /** Absent in commands of releases that did not send it. */
  readonly teams?: cacheSharing.DocumentTeams;
}

/** Sets the desired weights version of the engines of a model. */
export interface SetDesiredWeightsCommand {
  readonly kind: CommandKind.SetDesiredWeights;
  readonly model: string;
  readonly version: number;
}

/** Reads the sequence of the newest `Register` through the log, which a leader without a majority cannot do. */
export interface ReadRegisterCommand {
  readonly kind: CommandKind.ReadRegister;
}

/** An order to an engine that its leader is about to send. */
export interface AnnouncedOrder {
  readonly serverId: string;
  readonly fencingNumber: number;
  readonly weightsVersion: string;
  /** Number of accepted orders that the engine must have reported; absent if the engine reports none. */
  readonly expectedOrders?: number;
}

/** Announces orders, so that the next leader knows which engines may be executing one. */
export interface RecordOrdersCommand {
  readonly kind: CommandKind.RecordOrders;
  readonly orders: readonly AnnouncedOrder[];
}

/** Adds or removes software versions of a service that may have begun streams which callers still take up. */
export interface ChangeSoftwareVersionsCommand {
  readonly kind: CommandKind.ChangeSoftwareVersions;
  readonly service: string;
  readonly added: readonly string[];
  readonly removed: readonly string[];
}

/** Streams that servers of one software version have begun. */
export interface BegunStreams {
  readonly softwareVersion: string;
  /** Short hashes that identify the streams. */
  readonly keys: readonly string[];
}

/** Records which software versions have begun streams. */
export interface RecordStreamsCommand {
  readonly kind: CommandKind.RecordStreams;
  readonly begun: readonly BegunStreams[];
}

/** Asks through the log which software versions have begun streams, so that no earlier record is missed. */
export interface FindStreamsCommand {
  readonly kind: CommandKind.FindStreams;
  readonly keys: readonly string[];
}

/** Commits the entries of earlier terms; used by a new leader. */
export interface NoOperationCommand {
  readonly kind: CommandKind.NoOperation;
}

export type Command =
  | PublishCommand
  | ClaimCommand
  | CompleteClaimCommand
  | AbandonClaimCommand
  | PutRoutingCommand
  | SetDesiredWeightsCommand
  | ReadRegisterCommand
  | RecordOrdersCommand
  | ChangeSoftwareVersionsCommand
  | RecordStreamsCommand
  | FindStreamsCommand
  | NoOperationCommand;

export enum CommandResultKind {
  PublishAccepted = 'publish-accepted',
  PublishConflict = 'publish-conflict',
  ClaimGranted = 'claim-granted',
  ClaimHeld = 'claim-held',
  ClaimRefused = 'claim-refused',
  RegisterSequence = 'register-known',
  StreamsFound = 'streams-found',
  Done = 'done',
}

export enum ClaimPhase {
  /** An attempt may be running. */
  Claimed = 'claimed',
  /** The request was executed. */
  Answered = 'answered',
}

export enum ClaimRefusal {
  /** The key was used for a request with another fingerprint. */
  FingerprintDiffers = 'fingerprint-differs',
  /** The attempt was abandoned before its claim arrived. */
  AttemptAbandoned = 'attempt-abandoned',
  /** The key is older than the retention period, so an earlier claim may have been removed. */
  KeyExpired = 'key-expired',
}

export interface PublishAccepted {
  readonly kind: CommandResultKind.PublishAccepted;
  readonly revision: number;
}

/** Another publish was accepted on the same base revision. */
export interface PublishConflict {
  readonly kind: CommandResultKind.PublishConflict;
  readonly currentRevision: number;
  readonly winnerPublishId: string;
  readonly winnerAuthor: string;
}

/** The attempt may send its request. */
export interface ClaimGranted {
  readonly kind: CommandResultKind.ClaimGranted;
}

/** Another attempt holds the key. */
export interface ClaimHeld {
  readonly kind: CommandResultKind.ClaimHeld;
  readonly phase: ClaimPhase;
  readonly attemptId: string;
  readonly answer?: RecordedAnswer;
}

/** The attempt must not send its request. */
export interface ClaimRefused {
  readonly kind: CommandResultKind.ClaimRefused;
  readonly refusal: ClaimRefusal;
}

/** The sequence of the `Register` after the command. */
export interface RegisterSequence {
  readonly kind: CommandResultKind.RegisterSequence;
  readonly sequence: number;
}

/** The streams whose software version is recorded; the others are unknown. */
export interface StreamsFound {
  readonly kind: CommandResultKind.StreamsFound;
  readonly begun: readonly BegunStreams[];
}

export interface CommandDone {
  readonly kind: CommandResultKind.Done;
}

export type CommandResult =
  | PublishAccepted
  | PublishConflict
  | ClaimGranted
  | ClaimHeld
  | ClaimRefused
  | RegisterSequence
  | StreamsFound
  | CommandDone;

/** Larger answers are not stored: a resend gets only the information that the request ran. */
export const MAXIMUM_RECORDED_BODY_BYTES = 16 * 1_024;
