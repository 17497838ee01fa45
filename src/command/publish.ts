/** The command `publish`: makes all files the active configuration, or changes nothing. */
import * as crypto from 'node:crypto';
import * as results from 'ts-results';
import * as clock from '../clock';
import * as configuration from '../configuration';
import * as control from '../control';
import * as exitCode from './exit-code';
import * as failureOutcome from './failure-outcome';
import * as files from './files';
import * as operatorApi from './operator-api';
import * as operatorClient from './operator-client';
import * as outcome from './outcome';
import * as propagation from './propagation';

/** Options of a publish. */
export interface PublishOptions {
  readonly folder: string;
  readonly author: string;
  readonly waitMilliseconds: number;
  /** Whether active documents that are in no file may be removed. */
  readonly allowRemovals: boolean;
  /** Id of an earlier run whose outcome is unknown. */
  readonly publishId?: string;
  /** The revision on which the operator based the changes; any other active revision is a conflict. */
  readonly baseRevision?: number;
}

/** Dependencies of a publish. */
export interface PublishContext {
  readonly client: operatorClient.OperatorClient;
  readonly time: clock.Clock;
  /** Prints progress, first the publish id, so that a publish can be repeated after the command was killed. */
  readonly announce: (message: string) => void;
}

/**
 * Collects, checks and compares the files, publishes the difference, and waits until every live daemon
 * reports the new revision.
 *
 * @example
 * await publish({ folder: 'services', author: 'desk', waitMilliseconds: 15_000, allowRemovals: false }, context);
 */
export async function publish(
  options: PublishOptions,
  context: PublishContext,
): Promise<outcome.Outcome> {
  const collection = configuration.collect(options.folder);
  if (collection.problems.length > 0) {
    return files.invalid(collection);
  }
  const earlier = await findEarlier(options, context);
  if (earlier.err) {
    return failureOutcome.ofFailure(earlier.val);
  }
  if (earlier.val !== undefined) {
    return waitForDaemons(
      earlier.val,
      [`published before as revision ${earlier.val.revision}`],
      context,
      options,
    );
  }
  const active = await context.client.configuration();
  if (active.err) {
    return failureOutcome.ofFailure(active.val);
  }
  const snapshot = files.snapshotOf(active.val);
  const difference = configuration.diff(snapshot, collection.documents);
  return (
    outcomeWithoutRequest(options, snapshot, difference) ??
    publishDifference(options, context, snapshot, difference)
  );
}

/** A publish that was committed. */
interface Accepted {
  readonly revision: number;
  readonly publishId: string;
  readonly data: Readonly<Record<string, unknown>>;
}

/** A publish that no daemon has confirmed after all attempts. */
interface SendFailure {
  readonly last: operatorClient.ClientFailure;
  /** False when every attempt failed before it was sent or was rejected. */
  readonly mayBePublished: boolean;
}

// Six attempts with these delays last several times as long as an election, which needs about a second.
const MAXIMUM_ATTEMPTS = 6;
const FIRST_RETRY_DELAY_MILLISECONDS = 250;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 2_000;

// The server keeps at least this many revisions, and a resend happens soon.
const HISTORY_SEARCH_LIMIT = 1_000;

/** Errors after which the publish is not accepted, now or later. */
const FINAL_ERROR_CODES: readonly (operatorApi.OperatorErrorCode | undefined)[] = [
  operatorApi.OperatorErrorCode.Unauthorized,
  operatorApi.OperatorErrorCode.Invalid,
  operatorApi.OperatorErrorCode.NotFound,
];

async function findEarlier(
  options: PublishOptions,
  context: PublishContext,
): Promise<results.Result<Accepted | undefined, operatorClient.ClientFailure>> {
  const { publishId } = options;
  if (publishId === undefined) {
    return results.Ok(undefined);
  }
  const history = await context.client.history(HISTORY_SEARCH_LIMIT);
  return history.map(({ entries }) => {
    const entry = entries.find((candidate) => candidate.publishId === publishId);
    return entry && { revision: entry.revision, publishId, data: {} };
  });
}

/** The outcome when there is nothing to send, or when the publish must not be sent. */
function outcomeWithoutRequest(
  options: PublishOptions,
  snapshot: configuration.ConfigurationSnapshot,
  difference: configuration.ConfigurationDifference,
): outcome.Outcome | undefined {
  const { revision } = snapshot;
  const baseRevision = options.baseRevision ?? revision;
  if (baseRevision < revision) {
    // The daemon's answer names the publish that was accepted first.
    return undefined;
  }
  if (baseRevision > revision) {
    const message = `the daemon has revision ${revision}, not ${baseRevision}; ask another daemon or wait`;
    return outcome.failure(exitCode.ExitCode.Refused, [message, 'nothing was published'], {
      revision,
    });
  }
  if (configuration.isEmpty(difference)) {
    return outcome.success([`no change: revision ${revision} has the same content`], {
      revision,
      published: false,
    });
  }
  const removals = configuration.removalsOf(difference);
  if (removals.length > 0 && !options.allowRemovals) {
    const message =
      'these documents are active but in no file; give --allow-removals to remove them, ' +
      'or publish the folder that contains all files';
    return outcome.failure(
      exitCode.ExitCode.Refused,
      [...removals.map((key) => `- ${key}`), message, 'nothing was published'],
      { removals },
    );
  }
  return undefined;
}

async function publishDifference(
  options: PublishOptions,
  context: PublishContext,
  snapshot: configuration.ConfigurationSnapshot,
  difference: configuration.ConfigurationDifference,
): Promise<outcome.Outcome> {
  const request: operatorApi.PublishRequest = {
    publishId: options.publishId ?? crypto.randomUUID(),
    author: options.author,
    baseRevision: options.baseRevision ?? snapshot.revision,
    upserts: [...configuration.upsertsOf(difference)],
    removals: [...configuration.removalsOf(difference)],
  };
  context.announce(`publish id ${request.publishId}`);
  const answer = await sendUntilAnswered(request, context);
  if (answer.err) {
    return unconfirmed(request, answer.val);
  }
  if (answer.val.outcome === control.CommandResultKind.PublishConflict) {
    return conflict(request, answer.val);
  }
  const { publishId } = request;
  const data = files.differenceData(difference);
  const accepted = { revision: answer.val.revision, publishId, data };
  const lines = files.differenceLines(difference);
  return waitForDaemons(
    accepted,
    [...lines, `published as revision ${accepted.revision}`],
    context,
    options,
  );
}

/**
 * Sends the same request, with the same publish id, until a daemon reports its result. The control state
 * answers a repeated id with the first result, so that a repeated request does not publish twice.
 */
async function sendUntilAnswered(
  request: operatorApi.PublishRequest,
  context: PublishContext,
): Promise<results.Result<operatorApi.PublishResponse, SendFailure>> {
  let delay = FIRST_RETRY_DELAY_MILLISECONDS;
  let mayBePublished = false;
  for (let attempt = 0; ; attempt += 1) {
    const answer = await context.client.publish(request, attempt);
    if (answer.ok) {
      return answer;
    }
    const isFinal = FINAL_ERROR_CODES.includes(answer.val.code);
    mayBePublished ||=
      !isFinal && answer.val.kind !== operatorClient.ClientFailureKind.NotConnected;
    if (isFinal || attempt + 1 === MAXIMUM_ATTEMPTS) {
      return results.Err({ last: answer.val, mayBePublished });
    }
    context.announce(`${answer.val.message}; sending again with the same publish id`);
    await context.time.sleep(delay);
    delay = Math.min(2 * delay, MAXIMUM_RETRY_DELAY_MILLISECONDS);
  }
}

function unconfirmed(request: operatorApi.PublishRequest, failure: SendFailure): outcome.Outcome {
  if (!failure.mayBePublished) {
    const failed = failureOutcome.ofFailure(failure.last);
    return { ...failed, errors: [...failed.errors, 'nothing was published'] };
  }
  const { publishId } = request;
  const advice = `the outcome is unknown; run again with --publish-id ${publishId}`;
  return outcome.failure(
    exitCode.ExitCode.OutcomeUnknown,
    [failure.last.message, ...failure.last.problems, advice],
    { publishId },
  );
}

function conflict(
  request: operatorApi.PublishRequest,
  answer: Extract<operatorApi.PublishResponse, { winnerAuthor: string }>,
): outcome.Outcome {
  const { currentRevision, winnerPublishId, winnerAuthor } = answer;
  return outcome.failure(
    exitCode.ExitCode.Conflict,
    [
      `conflict: revision ${request.baseRevision} is no longer active; ` +
        `${winnerAuthor} won with publish ${winnerPublishId}, revision ${currentRevision} is active`,
      'nothing was published; take over the winning changes, run figline diff and publish again',
    ],
    { baseRevision: request.baseRevision, currentRevision, winnerPublishId, winnerAuthor },
  );
}

/** Waits for the live daemons and reports which of them lag. */
async function waitForDaemons(
  accepted: Accepted,
  lines: readonly string[],
  context: PublishContext,
  options: PublishOptions,
): Promise<outcome.Outcome> {
  const { revision, publishId } = accepted;
  const state = await propagation.waitForRevision(
    context.client,
    revision,
    context.time,
    options.waitMilliseconds,
  );
  const isComplete = propagation.isComplete(state);
  return {
    exitCode: isComplete ? exitCode.ExitCode.Success : exitCode.ExitCode.DaemonsLag,
    lines: [...lines, `active on ${state.applied.length} daemons`],
    errors: [
      ...state.lagging.map(
        (daemon) =>
          `${daemon.daemonId} (zone ${daemon.zone}) lags: it reports revision ${daemon.revision}`,
      ),
      ...state.disconnected.map(
        (daemon) =>
          `${daemon.daemonId} (zone ${daemon.zone}) has no link and applies the revision after it reconnects`,
      ),
      ...(state.failure === undefined
        ? []
        : [`the daemons' revisions could not be read: ${state.failure.message}`]),
    ],
    data: {
      published: true,
      revision,
      publishId,
      ...accepted.data,
      applied: state.applied.map((daemon) => daemon.daemonId),
      lagging: state.lagging.map((daemon) => daemon.daemonId),
      disconnected: state.disconnected.map((daemon) => daemon.daemonId),
    },
  };
}
