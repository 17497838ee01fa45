import * as document from './document';

/** Who published a revision, when, and which documents it changed. */
export interface PublishRecord {
  readonly revision: number;
  readonly publishId: string;
  readonly author: string;
  /** The leader's time in the log entry, in milliseconds since the Unix epoch. */
  readonly committedAtMilliseconds: number;
  /** Keys of documents that were added or changed. */
  readonly upserts: readonly string[];
  /** Keys of removed documents. */
  readonly removals: readonly string[];
}

/** The whole configuration at one revision. Revision 0 is empty and precedes the first publish. */
export interface ConfigurationSnapshot {
  readonly revision: number;
  /** Documents by `documentKey`. */
  readonly documents: ReadonlyMap<string, document.ConfigurationDocument>;
  /** The last publishes that led to this revision, oldest first; shown to operators. */
  readonly recentPublishes?: readonly PublishRecord[];
}

/** The changes between two revisions. */
export interface ConfigurationDelta {
  readonly from: number;
  readonly to: number;
  readonly upserts: readonly document.ConfigurationDocument[];
  /** Keys of removed documents. */
  readonly removals: readonly string[];
  /** The publishes between the two revisions, oldest first. */
  readonly publishes?: readonly PublishRecord[];
}

/** Publishes that every daemon keeps; with a few document keys each they need about 20 KB. */
const MAXIMUM_RECENT_PUBLISHES = 100;

/** The configuration before the first publish. */
export const EMPTY_SNAPSHOT: ConfigurationSnapshot = { revision: 0, documents: new Map() };

/**
 * Applies a delta. Returns the same snapshot when the delta does not start at its revision, so that a
 * late or repeated delta never reverts a configuration.
 *
 * @example
 * applyDelta(snapshotAt4, { from: 4, to: 5, upserts: [team], removals: [] }).revision; // 5
 */
export function applyDelta(
  snapshot: ConfigurationSnapshot,
  delta: ConfigurationDelta,
): ConfigurationSnapshot {
  if (delta.from !== snapshot.revision || delta.to <= delta.from) {
    return snapshot;
  }
  const documents = new Map(snapshot.documents);
  delta.removals.forEach((key) => documents.delete(key));
  delta.upserts.forEach((entry) => documents.set(document.documentKey(entry), entry));
  const publishes = [...(snapshot.recentPublishes ?? []), ...(delta.publishes ?? [])];
  return {
    revision: delta.to,
    documents,
    recentPublishes: publishes.slice(-MAXIMUM_RECENT_PUBLISHES),
  };
}
