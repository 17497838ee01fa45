/** Commands that read configuration files: `check` and `diff`. */
import * as configuration from '../configuration';
import * as exitCode from './exit-code';
import * as failureOutcome from './failure-outcome';
import * as operatorApi from './operator-api';
import * as operatorClient from './operator-client';
import * as outcome from './outcome';

/** Checks the files under a folder without contacting a daemon. */
export function check(folder: string): outcome.Outcome {
  const collection = configuration.collect(folder);
  if (collection.problems.length > 0) {
    return invalid(collection);
  }
  const contentHash = configuration.contentHash(collection.documents);
  const { files, documents } = collection;
  return outcome.success(
    [`${documents.length} documents in ${files.length} files are valid; content ${contentHash}`],
    { files, documents: documents.map(configuration.documentKey), contentHash },
  );
}

/** Shows what a publish of the folder would change. */
export async function diff(
  folder: string,
  client: operatorClient.OperatorClient,
): Promise<outcome.Outcome> {
  const collection = configuration.collect(folder);
  if (collection.problems.length > 0) {
    return invalid(collection);
  }
  const active = await client.configuration();
  if (active.err) {
    return failureOutcome.ofFailure(active.val);
  }
  const difference = configuration.diff(snapshotOf(active.val), collection.documents);
  const { revision } = active.val;
  if (configuration.isEmpty(difference)) {
    return outcome.success([`no change against revision ${revision}`], {
      revision,
      ...differenceData(difference),
    });
  }
  return outcome.success(
    [`against revision ${revision}:`, ...differenceLines(difference)],
    { revision, ...differenceData(difference) },
    exitCode.ExitCode.ChangesExist,
  );
}

/** The outcome for invalid files: lists all their problems; nothing else is done. */
export function invalid(collection: configuration.Collection): outcome.Outcome {
  const { problems } = collection;
  const count = problems.length === 1 ? '1 problem' : `${problems.length} problems`;
  return outcome.failure(
    exitCode.ExitCode.InvalidConfiguration,
    [...problems.map(configuration.formatProblem), `${count}; nothing was published`],
    { problems },
  );
}

/** Converts a daemon's answer into a snapshot. */
export function snapshotOf(
  response: operatorApi.ConfigurationResponse,
): configuration.ConfigurationSnapshot {
  const { revision, documents } = response;
  const entries = documents.map((entry) => [configuration.documentKey(entry), entry] as const);
  return { revision, documents: new Map(entries) };
}

/** One line for each document: `+` added, `~` changed with its changed fields, `-` removed. */
export function differenceLines(difference: configuration.ConfigurationDifference): string[] {
  return [
    ...difference.added.map((entry) => `+ ${configuration.documentKey(entry)}`),
    ...difference.changed.map(
      (change) => `~ ${configuration.documentKey(change.after)} (${change.fields.join(', ')})`,
    ),
    ...difference.removed.map((entry) => `- ${configuration.documentKey(entry)}`),
  ];
}

/** The difference as data for `--json`. */
export function differenceData(
  difference: configuration.ConfigurationDifference,
): Record<string, unknown> {
  return {
    added: difference.added.map(configuration.documentKey),
    changed: difference.changed.map((change) => ({
      document: configuration.documentKey(change.after),
      fields: change.fields,
    })),
    removed: configuration.removalsOf(difference),
  };
}
