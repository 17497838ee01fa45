import * as immutable from 'immutable';
import * as configuration from '../configuration';
import * as wire from '../wire';
import * as claims from './claims';
import * as command from './command';
import * as registers from './register';
import * as revisions from './revisions';
import * as streamOrigins from './stream-origins';

/** The state that results from the replicated log. */
export interface ControlState {
  readonly revisions: revisions.RevisionState;
  readonly claims: claims.ClaimState;
  readonly register: registers.Register;
  readonly streamOrigins: streamOrigins.StreamOrigins;
}

export const EMPTY_CONTROL_STATE: ControlState = {
  revisions: revisions.EMPTY_REVISIONS,
  claims: claims.EMPTY_CLAIMS,
  register: registers.EMPTY_REGISTER,
  streamOrigins: streamOrigins.EMPTY_STREAM_ORIGINS,
};

/** The state after a command, and the result for its proposer. */
export interface Applied {
  readonly state: ControlState;
  readonly result: command.CommandResult;
  /** Set when the command made a new revision. */
  readonly delta?: configuration.ConfigurationDelta;
}

/**
 * Applies one committed command. The result depends on nothing but the arguments, so that every replica
 * reaches the same state.
 *
 * @param timestamp the leader's time stamp of the entry, in milliseconds since the Unix epoch
 * @example
 * const { state, result } = apply(EMPTY_CONTROL_STATE, claimCommand, entry.timestamp);
 */
export function apply(
  state: ControlState,
  committedCommand: command.Command,
  timestamp: number,
): Applied {
  const pruned: ControlState = {
    ...state,
    revisions: revisions.prune(state.revisions, timestamp),
    claims: claims.prune(state.claims, timestamp),
  };
  switch (committedCommand.kind) {
    case command.CommandKind.Publish: {
      const published = revisions.publish(pruned.revisions, committedCommand, timestamp);
      return { ...published, state: { ...pruned, revisions: published.state } };
    }
    case command.CommandKind.Claim:
      return withClaims(pruned, claims.claim(pruned.claims, committedCommand, timestamp));
    case command.CommandKind.CompleteClaim:
      return withClaims(pruned, claims.complete(pruned.claims, committedCommand));
    case command.CommandKind.AbandonClaim:
      return withClaims(pruned, claims.abandon(pruned.claims, committedCommand, timestamp));
    case command.CommandKind.PutRouting:
      return withRegister(pruned, registers.putRouting(pruned.register, committedCommand));
    case command.CommandKind.SetDesiredWeights: {
      const { model, version } = committedCommand;
      return withRegister(
        pruned,
        registers.setDesiredWeights(pruned.register, model, version, timestamp),
      );
    }
    case command.CommandKind.ReadRegister:
      return withRegister(pruned, pruned.register);
    case command.CommandKind.ChangeSoftwareVersions: {
      const { service, added, removed } = committedCommand;
      return withRegister(
        pruned,
        registers.changeSoftwareVersions(pruned.register, service, added, removed),
      );
    }
    case command.CommandKind.RecordStreams: {
      const { begun } = committedCommand;
      const recorded = streamOrigins.recordStreams(pruned.streamOrigins, begun, timestamp);
      const kind = command.CommandResultKind.Done;
      return { state: { ...pruned, streamOrigins: recorded }, result: { kind } };
    }
    case command.CommandKind.FindStreams:
      return { state: pruned, result: findStreams(pruned, committedCommand) };
    default:
      return { state: pruned, result: { kind: command.CommandResultKind.Done } };
  }
}

/** Serialises the state for a snapshot of the log. */
export function encodeState(state: ControlState): Uint8Array {
  return wire.encode({
    documents: [...state.revisions.snapshot.documents.values()],
    revision: state.revisions.snapshot.revision,
    recentPublishes: state.revisions.snapshot.recentPublishes ?? [],
    publishes: [...state.revisions.publishes.entries()],
    publishOrder: [...state.revisions.publishOrder],
    winners: [...state.revisions.winners.entries()],
    claims: [...state.claims.claims.entries()],
    abandoned: [...state.claims.abandoned.entries()],
    register: registers.encodeRegister(state.register),
    streamOrigins: streamOrigins.encodeStreamOrigins(state.streamOrigins),
  });
}

/** The inverse of `encodeState`. */
export function decodeState(bytes: Uint8Array): ControlState {
  const value = wire.decode(bytes) as EncodedState;
  const documents = new Map(
    value.documents.map((document) => [configuration.documentKey(document), document]),
  );
  return {
    revisions: {
      snapshot: {
        revision: value.revision,
        documents,
        recentPublishes: value.recentPublishes,
      },
      publishes: immutable.Map(value.publishes),
      publishOrder: immutable.List(value.publishOrder),
      winners: immutable.Map(value.winners),
    },
    claims: claims.restore(value.claims, value.abandoned),
    register: registers.decodeRegister(value.register),
    streamOrigins: streamOrigins.decodeStreamOrigins(value.streamOrigins),
  };
}

interface EncodedState {
  readonly documents: readonly configuration.ConfigurationDocument[];
  readonly revision: number;
  readonly recentPublishes: readonly configuration.PublishRecord[];
  readonly publishes: readonly [string, command.CommandResult][];
  readonly publishOrder: readonly revisions.PublishTime[];
  readonly winners: readonly [number, revisions.Winner][];
  readonly claims: readonly [string, claims.Claim][];
  readonly abandoned: readonly [string, number][];
  /** Absent in snapshots of releases without a register. */
  readonly register?: registers.EncodedRegister;
  /** Absent in snapshots of releases that did not record streams. */
  readonly streamOrigins?: streamOrigins.EncodedStreamOrigins;
}

function findStreams(
  state: ControlState,
  { keys }: command.FindStreamsCommand,
): command.StreamsFound {
  const begun = keys.flatMap((key) => {
    const softwareVersion = streamOrigins.originOf(state.streamOrigins, key);
    return softwareVersion === undefined ? [] : [{ softwareVersion, keys: [key] }];
  });
  return { kind: command.CommandResultKind.StreamsFound, begun };
}

function withRegister(state: ControlState, register: registers.Register): Applied {
  const kind = command.CommandResultKind.RegisterSequence;
  return { state: { ...state, register }, result: { kind, sequence: register.sequence } };
}

function withClaims(state: ControlState, outcome: claims.ClaimOutcome): Applied {
  return { state: { ...state, claims: outcome.state }, result: outcome.result };
}
