import * as fs from 'node:fs';
import * as backend from '../../backend';
import * as documents from './documents';
import type * as emulators from './emulators';

/** Replaces a VM list file atomically, so that a daemon never reads an incomplete list. */
export function writeMachineList(file: string, servers: readonly emulators.EmulatedServer[]): void {
  const machines = servers.map(record);
  fs.writeFileSync(`${file}.new`, JSON.stringify({ machines }));
  fs.renameSync(`${file}.new`, file);
}

function record(server: emulators.EmulatedServer, index: number): backend.MachineRecord {
  const isEngine = server.kind === backend.BackendKind.ModelEngine;
  return {
    ...server,
    id: `server-${index}`,
    host: '127.0.0.1',
    zone: 'zone-a',
    region: 'region-a',
    service: isEngine ? documents.ENGINE_SERVICE : documents.PLAIN_SERVICE,
    phase: backend.MachinePhase.Live,
  };
}
