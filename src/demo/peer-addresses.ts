/**
 * Peer addresses for the daemons of one cluster, which have to know each other's before they start and
 * listen on the same ones again after a restart. Each process that starts clusters has a loopback address
 * of its own, and the ports lie below those that the operating system gives to outgoing connections, so
 * that nothing else can take a port between its choice and its use.
 *
 * @example
 * peerAddresses(process.pid, 0, 3)[0]; // '127.1.4.210:20000'
 */
export function peerAddresses(processId: number, cluster: number, count: number): string[] {
  const host = hostOf(processId);
  const first = FIRST_PORT + (cluster % CLUSTERS) * PORTS_PER_CLUSTER;
  return Array.from({ length: count }, (_, index) => `${host}:${first + index}`);
}

/** 127.0.0.0/24 is left to everything else. */
function hostOf(processId: number): string {
  const high = 1 + (Math.floor(processId / 65_536) % 254);
  const middle = Math.floor(processId / 256) % 256;
  return `127.${high}.${middle}.${processId % 256}`;
}

const FIRST_PORT = 20_000;

/** More daemons than any test or measurement starts on one machine. */
const PORTS_PER_CLUSTER = 100;

const CLUSTERS = 100;
