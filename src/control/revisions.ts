import * as immutable from 'immutable';
import * as configuration from '../configuration';
import * as command from './command';

/** The publish that made a revision. */
export interface Winner {
  readonly publishId: string;
  readonly author: string;
}

/** When a publish was applied; it is removed after the retention period. */
export interface PublishTime {
  readonly publishId: string;
  readonly timestamp: number;
}

/** The active configuration, and the results of recent publishes. */
export interface RevisionState {
  readonly snapshot: configuration.ConfigurationSnapshot;
  /** First result of each publish id. */
  readonly publishes: immutable.Map<string, command.CommandResult>;
  readonly publishOrder: immutable.List<PublishTime>;
  /** By revision. */
  readonly winners: immutable.Map<number, Winner>;
}

export const EMPTY_REVISIONS: RevisionState = {
  snapshot: configuration.EMPTY_SNAPSHOT,
  publishes: immutable.Map(),
  publishOrder: immutable.List(),
  winners: immutable.Map(),
};

/** The outcome of one publish. */
export interface Published {
  readonly state: RevisionState;
  readonly result: command.CommandResult;
  readonly delta?: configuration.ConfigurationDelta;
}

// An operator who resends a publish does so within minutes; a day covers a resend by a pipeline.
const PUBLISH_RETENTION_MILLISECONDS = 24 * 3_600_000;

// At 11,000 changes a day, this covers base revisions that are a few hours old.
const RETAINED_WINNERS = 2_000;

/**
 * Commits a publish as the next revision if its base is the current one; otherwise its result is a conflict.
 */
export function publish(
  state: RevisionState,
  request: command.PublishCommand,
  timestamp: number,
): Published {
  const first = state.publishes.get(request.publishId);
  if (first !== undefined) {
    return { state, result: first };
  }
  const { revision } = state.snapshot;
  return request.baseRevision === revision
    ? accept(state, request, timestamp)
    : recordResult(state, request, conflict(state, request.baseRevision), timestamp);
}

/** Removes publishes that are older than the retention period. */
export function prune(state: RevisionState, timestamp: number): RevisionState {
  const oldest = timestamp - PUBLISH_RETENTION_MILLISECONDS;
  const expired = state.publishOrder.takeWhile((publishTime) => publishTime.timestamp < oldest);
  if (expired.isEmpty()) {
    return state;
  }
  return {
    ...state,
    publishes: state.publishes.deleteAll(expired.map(({ publishId }) => publishId)),
    publishOrder: state.publishOrder.skip(expired.size),
  };
}

function accept(
  state: RevisionState,
  request: command.PublishCommand,
  timestamp: number,
): Published {
  const from = state.snapshot.revision;
  const { upserts, removals, publishId, author } = request;
  const record: configuration.PublishRecord = {
    revision: from + 1,
    publishId,
    author,
    committedAtMilliseconds: timestamp,
    upserts: upserts.map(configuration.documentKey),
    removals,
  };
  const delta = { from, to: from + 1, upserts, removals, publishes: [record] };
  const snapshot = configuration.applyDelta(state.snapshot, delta);
  const winners = state.winners
    .set(snapshot.revision, { publishId, author })
    .delete(snapshot.revision - RETAINED_WINNERS);
  const result: command.PublishAccepted = {
    kind: command.CommandResultKind.PublishAccepted,
    revision: snapshot.revision,
  };
  const next = { ...state, snapshot, winners };
  return { ...recordResult(next, request, result, timestamp), delta };
}

function recordResult(
  state: RevisionState,
  request: command.PublishCommand,
  result: command.CommandResult,
  timestamp: number,
): Published {
  const { publishId } = request;
  return {
    state: {
      ...state,
      publishes: state.publishes.set(publishId, result),
      publishOrder: state.publishOrder.push({ publishId, timestamp }),
    },
    result,
  };
}

/** The conflict with the publish that was accepted on the same base, or else with the latest one. */
function conflict(state: RevisionState, baseRevision: number): command.PublishConflict {
  const currentRevision = state.snapshot.revision;
  const winner = state.winners.get(baseRevision + 1) ?? state.winners.get(currentRevision);
  return {
    kind: command.CommandResultKind.PublishConflict,
    currentRevision,
    winnerPublishId: winner?.publishId ?? '',
    winnerAuthor: winner?.author ?? '',
  };
}
