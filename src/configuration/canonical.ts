import * as crypto from 'node:crypto';
import * as document from './document';

/**
 * Serializes a document independently of the order of its fields, routes and list entries. Documents with
 * the same canonical text are equivalent.
 *
 * @example
 * canonicalText({ kind: DocumentKind.Team, name: 'a', share: 1, credentialHashes: [hash], services: ['y', 'x'] });
 * // '{"credentialHashes":["…"],"kind":"team","name":"a","services":["x","y"],"share":1}'
 */
export function canonicalText(entry: document.ConfigurationDocument): string {
  return JSON.stringify(canonicalValue(entry));
}

/**
 * SHA-256 over all documents in canonical form, in hexadecimal. It does not depend on their order.
 *
 * @example
 * contentHash(snapshot.documents.values()) === contentHash(collection.documents); // nothing to publish
 */
export function contentHash(documents: Iterable<document.ConfigurationDocument>): string {
  const lines = Array.from(documents, canonicalText).sort();
  const hash = crypto.createHash('sha256');
  lines.forEach((line) => hash.update(`${line}\n`));
  return hash.digest('hex');
}

/** Sorts lists, because lists of strings are sets in every document and the order of routes has no meaning. */
function canonicalValue(value: unknown): unknown {
  if (Array.isArray(value)) {
    return value
      .map((entry) => JSON.stringify(canonicalValue(entry)))
      .sort()
      .map((text) => JSON.parse(text));
  }
  if (typeof value !== 'object' || value === null) {
    return value;
  }
  const entries = Object.entries(value)
    .filter(([, field]) => field !== undefined)
    .sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(entries.map(([name, field]) => [name, canonicalValue(field)]));
}
