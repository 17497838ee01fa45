import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as configuration from '../../src/configuration';

/** A valid set: one model service, one plain service, an intent and a team. */
export const VALID_TEXT = `kind: service
name: inspection-desk
type: model-engine
model: sack-reader
weightsVersion: '7'
---
kind: service
name: sack-ledger
type: plain
routes:
  - path: /ledger
    methods: [GET]
    idempotent: true
  - path: /ledger/charges
    methods: [GET, POST]
    idempotent: false
---
kind: intent
name: sack-assessment
service: inspection-desk
---
kind: team
name: market-roasters
credentialHashes:
  - ${configuration.hashCredential('market-roasters-credential')}
services: [inspection-desk, sack-ledger]
`;

/** Writes files into a new temporary folder; the caller removes it. */
export function writeFolder(files: Readonly<Record<string, string>>): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'figline-configuration-'));
  Object.entries(files).forEach(([name, text]) => {
    const file = path.join(folder, name);
    fs.mkdirSync(path.dirname(file), { recursive: true });
    fs.writeFileSync(file, text);
  });
  return folder;
}

/** Writes files into a temporary folder, collects them and removes the folder. */
export function collect(files: Readonly<Record<string, string>>): configuration.Collection {
  const folder = writeFolder(files);
  try {
    return configuration.collect(folder);
  } finally {
    fs.rmSync(folder, { recursive: true });
  }
}

/** A snapshot of documents. */
export function snapshotOf(
  documents: readonly configuration.ConfigurationDocument[],
  revision = 1,
): configuration.ConfigurationSnapshot {
  return {
    revision,
    documents: new Map(documents.map((entry) => [configuration.documentKey(entry), entry])),
  };
}
