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
  /** Connections of callers that may be open. */
  readonly callerConnections: number;
  /** Resident memory at which garbage is collected; it is `Infinity` if the memory of the VM is not known. */
  readonly nearLimitBytes: number;
}

/**
 * Limits for a VM of a known size, and fixed ones for what is not known of it.
 *
 * @example
 * limitsFor({ memoryBytes: 178e6 }).heldBytes; // 57_000_000
 */
export function limitsFor({ memoryBytes, descriptors }: VmLimits): MemoryLimits {
  const heldBytes =
    memoryBytes === undefined
      ? UNKNOWN_HELD_BYTES
      : Math.max(MINIMUM_HELD_BYTES, (memoryBytes - PROCESS_BYTES) * HELD_SHARE);
  return {
    heldBytes,
    bufferedBytes: heldBytes * BUFFERED_SHARE,
    callerConnections:
      descriptors === undefined
        ? UNKNOWN_CONNECTIONS
        : Math.max(1, Math.floor(descriptors * CONNECTIONS_SHARE)),
    nearLimitBytes: (memoryBytes ?? Number.POSITIVE_INFINITY) * NEAR_LIMIT_SHARE,
  };
}

/** Program, libraries and V8 of a gateway without requests. */
const PROCESS_BYTES = 64_000_000;

/** The rest is for garbage, the sockets, and what each request needs beside its body. */
const HELD_SHARE = 0.5;

/** The largest body, 4 MiB, is half of what unfinished bodies may hold on the smallest VM. */
const MINIMUM_HELD_BYTES = 17_000_000;

/** Of 178 MB, the limit that held before the size of the VM was used. */
const UNKNOWN_HELD_BYTES = 57_000_000;

const BUFFERED_SHARE = 0.6;

/** The other descriptors are for connections to servers and daemons, and for files. */
const CONNECTIONS_SHARE = 0.6;

/** Below the usual limit of 4,096 descriptors. */
const UNKNOWN_CONNECTIONS = 2_400;

const NEAR_LIMIT_SHARE = 0.85;
