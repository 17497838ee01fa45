/** What the VM of a process allows it; a limit that is absent is not known. */
export interface VmLimits {
  readonly memoryBytes?: number;
  /** Files, connections and other descriptors. */
  readonly descriptors?: number;
}

/** Limits of a process, which are drawn from those of its VM. */
export interface MemoryLimits {
  /** Bytes that it may hold for its callers and servers. */
  readonly heldBytes: number;
  /** Bytes of small answers and incomplete events within them. */
  readonly bufferedBytes: number;
  /** Connections of callers, and of other gateways, that may be open together. */
  readonly callerConnections: number;
  /** Resident memory at which garbage is collected; it is `Infinity` if the memory of the VM is not known. */
  readonly nearLimitBytes: number;
}

/**
 * Limits for a VM of a known size, and fixed ones for what is not known of it.
 *
 * @param maximumRequests requests that run at the same time, each with a connection to a server
 *
 * @example
 * limitsFor({ memoryBytes: 178e6 }).heldBytes; // 50_000_000
 */
export function limitsFor(
  { memoryBytes, descriptors }: VmLimits,
  maximumRequests = Number.POSITIVE_INFINITY,
): MemoryLimits {
  const heldBytes =
    memoryBytes === undefined
      ? UNKNOWN_HELD_BYTES
      : Math.max(MINIMUM_HELD_BYTES, (memoryBytes - PROCESS_BYTES) * HELD_SHARE);
  return {
    heldBytes,
    bufferedBytes: heldBytes * BUFFERED_SHARE,
    callerConnections: Math.min(
      connectionsWithin(descriptors, maximumRequests),
      memoryBytes === undefined
        ? Number.POSITIVE_INFINITY
        : Math.floor((heldBytes * CONNECTIONS_SHARE) / CONNECTION_BYTES),
    ),
    nearLimitBytes: (memoryBytes ?? Number.POSITIVE_INFINITY) * NEAR_LIMIT_SHARE,
  };
}

/** A connection of a caller has at most one running request, which has at most one connection to a server. */
function connectionsWithin(descriptors: number | undefined, maximumRequests: number): number {
  if (descriptors === undefined) {
    return UNKNOWN_CONNECTIONS;
  }
  const usable = descriptors - OTHER_DESCRIPTORS;
  return Math.max(MINIMUM_CONNECTIONS, usable - maximumRequests, Math.floor(usable / 2));
}

/** Resident memory of a gateway that is ready and has had no requests. */
export const PROCESS_BYTES = 78_000_000;

/** Objects of a connection and of a request that runs on it, with a large head. */
export const CONNECTION_BYTES = 18_000;

/** The rest is for garbage, the sockets, and what each request needs beside its body. */
const HELD_SHARE = 0.5;

/** Two of the largest bodies, of 4 MiB, fit into the part of unfinished ones. On a VM under 121 MB not all of this is free. */
const MINIMUM_HELD_BYTES = 17_000_000;

/** Of 178 MB, the limit that held before the size of the VM was used. */
const UNKNOWN_HELD_BYTES = 57_000_000;

const BUFFERED_SHARE = 0.6;

/** The rest is for what the requests of these connections hold. */
const CONNECTIONS_SHARE = 0.5;

/** Connections between the daemons, and probes. */
const OTHER_DESCRIPTORS = 112;

const MINIMUM_CONNECTIONS = 64;

/** Below the usual limit of 4,096 descriptors. */
const UNKNOWN_CONNECTIONS = 2_400;

export const NEAR_LIMIT_SHARE = 0.85;
