/**
 * A 32-bit hash of a text (FNV-1a followed by a final mix). It is the same on every daemon, so that
 * daemons agree on placement without messages.
 *
 * @example
 * hashText('runner-0') === hashText('runner-0'); // true
 */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mix(hash);
}

/**
 * A number from 0 (included) to 1 (excluded) that looks random and is the same on every daemon.
 *
 * @example
 * hashFraction('request-1') < 0.5; // for about half of the texts
 */
export function hashFraction(text: string): number {
  return hashText(text) / HASH_RANGE;
}

/**
 * Orders servers by their rendezvous weight for a key, highest first. When a server leaves, only the keys for
 * which it was the first move to another server.
 *
 * @example
 * rankServers('4f1c', ['runner-0', 'runner-1'])[0]; // the home server of the prefix
 */
export function rankServers(key: string, serverIds: readonly string[]): string[] {
  const keyHash = hashText(key);
  return serverIds
    .map((serverId) => ({ serverId, weight: weigh(keyHash, serverId) }))
    .sort((left, right) => right.weight - left.weight || (left.serverId < right.serverId ? -1 : 1))
    .map((ranked) => ranked.serverId);
}

/**
 * Orders servers for an inner prefix that extends an outer one. The outer prefix has `outerHomeCount` home
 * servers, and the inner one has its home among these, so that a new inner prefix finds the outer one cached.
 *
 * @example
 * rankNested('rules', 2, 'history', serverIds)[0]; // one of the first two servers of 'rules'
 */
export function rankNested(
  outerKey: string,
  outerHomeCount: number,
  innerKey: string,
  serverIds: readonly string[],
): string[] {
  const outerServers = new Set(rankServers(outerKey, serverIds).slice(0, outerHomeCount));
  const ranked = rankServers(innerKey, serverIds);
  return [
    ...ranked.filter((serverId) => outerServers.has(serverId)),
    ...ranked.filter((serverId) => !outerServers.has(serverId)),
  ];
}

function weigh(keyHash: number, serverId: string): number {
  // eslint-disable-next-line no-bitwise
  return mix(keyHash ^ hashOfServer(serverId));
}

/** Cache, because each request needs the hashes of all server ids, which are few. */
const serverHashes = new Map<string, number>();

function hashOfServer(serverId: string): number {
  const cachedHash = serverHashes.get(serverId);
  if (cachedHash !== undefined) {
    return cachedHash;
  }
  if (serverHashes.size >= MAXIMUM_SERVER_HASHES) {
    serverHashes.clear();
  }
  const hash = hashText(serverId);
  serverHashes.set(serverId, hash);
  return hash;
}

/** The finalizer of MurmurHash3, which spreads each input bit over the whole result. */
function mix(value: number): number {
  /* eslint-disable no-bitwise */
  let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
  /* eslint-enable no-bitwise */
}

const HASH_RANGE = 2 ** 32;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** More than the servers of the largest deployment; a replaced server gets a new id. */
const MAXIMUM_SERVER_HASHES = 10_000;
