/**
 * A 32-bit hash of a text (FNV-1a followed by a final mix). The same on every daemon, so that daemons
 * agree on placement without talking to each other.
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
 * Orders servers by their rendezvous weight for a key, highest first. When a server leaves, only the
 * keys that it was first for move.
 *
 * @example
 * rankServers('4f1c', ['runner-0', 'runner-1'])[0]; // the home of the prefix
 */
export function rankServers(key: string, serverIds: readonly string[]): string[] {
  const keyHash = hashText(key);
  return serverIds
    .map((serverId) => ({ serverId, weight: weigh(keyHash, serverId) }))
    .sort((left, right) => right.weight - left.weight || (left.serverId < right.serverId ? -1 : 1))
    .map((ranked) => ranked.serverId);
}

/**
 * Orders servers for a prefix that is nested in a shorter, wider shared one. The wide prefix has `width`
 * servers, and the deep one has its home among these, so that a new deep prefix finds the wide one cached.
 *
 * @example
 * rankNested('rules', 2, 'history', serverIds)[0]; // one of the two first servers of 'rules'
 */
export function rankNested(
  wideKey: string,
  width: number,
  deepKey: string,
  serverIds: readonly string[],
): string[] {
  const wide = new Set(rankServers(wideKey, serverIds).slice(0, width));
  const ranked = rankServers(deepKey, serverIds);
  return [
    ...ranked.filter((serverId) => wide.has(serverId)),
    ...ranked.filter((serverId) => !wide.has(serverId)),
  ];
}

function weigh(keyHash: number, serverId: string): number {
  // eslint-disable-next-line no-bitwise
  return mix(keyHash ^ hashOfServer(serverId));
}

/** Ids of servers are hashed for each request, and there are few of them. */
const serverHashes = new Map<string, number>();

function hashOfServer(serverId: string): number {
  const known = serverHashes.get(serverId);
  if (known !== undefined) {
    return known;
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

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** Above the servers of the largest deployment; servers that are replaced get new ids. */
const MAXIMUM_SERVER_HASHES = 10_000;
