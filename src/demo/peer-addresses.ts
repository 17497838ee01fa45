/**
 * Peer addresses for the daemons of one cluster, which need each other's addresses before they start and
 * listen on the same addresses after a restart. Each process that starts clusters uses a separate loopback
 * address, and the ports are below the ephemeral ports of outgoing connections, so that nothing else can
 * bind a port between its selection and its use.
 *
 * @example
 * peerAddresses(process.pid, 0, 3)[0]; // '127.1.4.210:20000'
 */
export function peerAddresses(processId: number, cluster: number, count: number): string[] {
  const host = hostOf(processId);
  const first = FIRST_PORT + (cluster % CLUSTERS) * PORTS_PER_CLUSTER;
  return Array.from({ length: count }, (_, index) => `${host}:${first + index}`);
}

/** Derives a loopback address from the process id; 127.0.0.0/24 remains free for other uses. */
function hostOf(processId: number): string {
  const high = 1 + (Math.floor(processId / 65_536) % 254);
  const middle = Math.floor(processId / 256) % 256;
  return `127.${high}.${middle}.${processId % 256}`;
}

const FIRST_PORT = 20_000;

/** More than the daemons that any test or measurement starts on one machine. */
const PORTS_PER_CLUSTER = 100;

const CLUSTERS = 100;
