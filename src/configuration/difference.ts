import * as canonical from './canonical';
import * as document from './document';
import * as snapshot from './snapshot';

/** A document that exists before and after with different content. */
export interface ChangedDocument {
  readonly before: document.ConfigurationDocument;
  readonly after: document.ConfigurationDocument;
  /** Names of the top-level fields that differ. */
  readonly fields: readonly string[];
}

/** What a publish would change. All lists are sorted by document key. */
export interface ConfigurationDifference {
  readonly added: readonly document.ConfigurationDocument[];
  readonly changed: readonly ChangedDocument[];
  readonly removed: readonly document.ConfigurationDocument[];
}

/**
 * Compares the active configuration with a full set of documents.
 *
 * @example
 * isEmpty(diff(snapshot, [...snapshot.documents.values()])); // true
 */
export function diff(
  active: snapshot.ConfigurationSnapshot,
  documents: readonly document.ConfigurationDocument[],
): ConfigurationDifference {
  const target = new Map(documents.map((entry) => [document.documentKey(entry), entry]));
  const sorted = [...target.entries()].sort(byKey);
  const removed = [...active.documents.entries()].sort(byKey).filter(([key]) => !target.has(key));
  return {
    added: sorted.filter(([key]) => !active.documents.has(key)).map(([, entry]) => entry),
    changed: sorted.flatMap(([key, after]) => {
      const before = active.documents.get(key);
      return before === undefined ? [] : compare(before, after);
    }),
    removed: removed.map(([, entry]) => entry),
  };
}

/** Whether nothing changes. */
export function isEmpty(difference: ConfigurationDifference): boolean {
  const { added, changed, removed } = difference;
  return added.length + changed.length + removed.length === 0;
}

/** The documents that a publish of the difference carries. */
export function upsertsOf(
  difference: ConfigurationDifference,
): readonly document.ConfigurationDocument[] {
  return [...difference.added, ...difference.changed.map((change) => change.after)];
}

/** The keys of the documents that a publish of the difference removes. */
export function removalsOf(difference: ConfigurationDifference): readonly string[] {
  return difference.removed.map(document.documentKey);
}

function compare(
  before: document.ConfigurationDocument,
  after: document.ConfigurationDocument,
): ChangedDocument[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  const fields = names.filter((name) => fieldText(before, name) !== fieldText(after, name));
  return fields.length === 0 ? [] : [{ before, after, fields }];
}

function fieldText(entry: document.ConfigurationDocument, name: string): string {
  const field = Object.entries(entry).filter(([candidate]) => candidate === name);
  return canonical.canonicalText(Object.fromEntries(field) as document.ConfigurationDocument);
}

function byKey(left: readonly [string, unknown], right: readonly [string, unknown]): number {
  return left[0] < right[0] ? -1 : 1;
}
