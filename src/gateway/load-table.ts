import type * as placement from '../placement';

/** Load of the requests in flight at one backend server. */
export interface InFlightLoad {
  readonly serverId: string;
  readonly requests: number;
  readonly prefillTokens: number;
  readonly memoryTokens: number;
}

/**
 * Writes one row of 6 bytes for each server of a list: requests, prompt tokens whose prefill has not ended, tokens in
 * memory. A gateway receives a table several times a second for all servers, so that rows contain no ids.
 *
 * @example
 * decodeLoads(['i-1'], encodeLoads(['i-1'], new Map([['i-1', load]])));
 */
export function encodeLoads(
  serverIds: readonly string[],
  loads: ReadonlyMap<string, InFlightLoad>,
): Uint8Array {
  const table = Buffer.alloc(serverIds.length * LOAD_ROW_BYTES);
  serverIds.forEach((serverId, index) => {
    const load = loads.get(serverId);
    if (load !== undefined) {
      const offset = index * LOAD_ROW_BYTES;
      table.writeUInt16LE(Math.min(MAXIMUM_VALUE, load.requests), offset);
      table.writeUInt16LE(toUnits(load.prefillTokens), offset + 2);
      table.writeUInt16LE(toUnits(load.memoryTokens), offset + 4);
    }
  });
  return table;
}

/** The loads in a table without idle servers; `undefined` if the table does not fit the list. */
export function decodeLoads(
  serverIds: readonly string[],
  bytes: Uint8Array,
): readonly InFlightLoad[] | undefined {
  if (bytes.length !== serverIds.length * LOAD_ROW_BYTES) {
    return undefined;
  }
  const table = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  const loads: InFlightLoad[] = [];
  for (let index = 0; index < serverIds.length; index += 1) {
    const offset = index * LOAD_ROW_BYTES;
    const requests = table.readUInt16LE(offset);
    if (requests > 0) {
      loads.push({
        serverId: serverIds[index],
        requests,
        prefillTokens: table.readUInt16LE(offset + 2) * TOKENS_PER_UNIT,
        memoryTokens: table.readUInt16LE(offset + 4) * TOKENS_PER_UNIT,
      });
    }
  }
  return loads;
}

/** Writes one row of 6 bytes for each pair of a server of the list and a prefix; other servers are left out. */
export function encodePlacements(
  serverIds: readonly string[],
  placements: readonly placement.PrefixPlacement[],
): Uint8Array {
  const indexes = new Map(serverIds.map((serverId, index) => [serverId, index]));
  const known = placements.filter(({ serverId }) => indexes.has(serverId));
  const rows = known.reduce((sum, { hashes }) => sum + hashes.length, 0);
  const table = Buffer.alloc(rows * PLACEMENT_ROW_BYTES);
  let offset = 0;
  known.forEach(({ serverId, hashes }) =>
    hashes.forEach((hash) => {
      table.writeUInt16LE(indexes.get(serverId)!, offset);
      table.writeUInt32LE(hash, offset + 2);
      offset += PLACEMENT_ROW_BYTES;
    }),
  );
  return table;
}

/** The placements in a table; `undefined` if the table does not fit the list. */
export function decodePlacements(
  serverIds: readonly string[],
  bytes: Uint8Array,
): readonly placement.PrefixPlacement[] | undefined {
  if (bytes.length % PLACEMENT_ROW_BYTES !== 0) {
    return undefined;
  }
  const table = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  const hashesByServer = new Map<string, number[]>();
  for (let offset = 0; offset < table.length; offset += PLACEMENT_ROW_BYTES) {
    const serverId = serverIds[table.readUInt16LE(offset)];
    if (serverId === undefined) {
      return undefined;
    }
    const hashes = hashesByServer.get(serverId);
    const hash = table.readUInt32LE(offset + 2);
    if (hashes === undefined) {
      hashesByServer.set(serverId, [hash]);
    } else {
      hashes.push(hash);
    }
  }
  return [...hashesByServer].map(([serverId, hashes]) => ({ serverId, hashes }));
}

/** Writes one row of 10 bytes for each prefix: hash, milliseconds of server time, requests. */
export function encodeDemand(keys: readonly placement.KeyDemand[]): Uint8Array {
  const table = Buffer.alloc(keys.length * DEMAND_ROW_BYTES);
  keys.forEach(({ hash, milliseconds, requests }, index) => {
    const offset = index * DEMAND_ROW_BYTES;
    table.writeUInt32LE(hash, offset);
    table.writeUInt32LE(Math.min(MAXIMUM_MILLISECONDS, Math.round(milliseconds)), offset + 4);
    table.writeUInt16LE(Math.min(MAXIMUM_VALUE, Math.round(requests * REQUEST_UNITS)), offset + 8);
  });
  return table;
}

/** The demand in a table; `undefined` if it does not consist of whole rows. */
export function decodeDemand(bytes: Uint8Array): readonly placement.KeyDemand[] | undefined {
  if (bytes.length % DEMAND_ROW_BYTES !== 0) {
    return undefined;
  }
  const table = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  return Array.from({ length: bytes.length / DEMAND_ROW_BYTES }, (_, index) => {
    const offset = index * DEMAND_ROW_BYTES;
    return {
      hash: table.readUInt32LE(offset),
      milliseconds: table.readUInt32LE(offset + 4),
      requests: table.readUInt16LE(offset + 8) / REQUEST_UNITS,
    };
  });
}

/** Rounds up, so that a load above 0 stays above 0. */
function toUnits(tokens: number): number {
  return Math.min(MAXIMUM_VALUE, Math.ceil(tokens / TOKENS_PER_UNIT));
}

const LOAD_ROW_BYTES = 6;

const PLACEMENT_ROW_BYTES = 6;

const DEMAND_ROW_BYTES = 10;

/** Rows contain tenths of requests, because older requests count in part. */
const REQUEST_UNITS = 10;

const MAXIMUM_MILLISECONDS = 0xffff_ffff;

/** A row reaches up to half a million tokens. */
const TOKENS_PER_UNIT = 8;

const MAXIMUM_VALUE = 0xffff;
