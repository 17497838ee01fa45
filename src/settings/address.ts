import * as net from 'node:net';
import * as results from 'ts-results';

/** An IP address and a port. */
export interface SocketAddress {
  /** IP address, IPv6 without brackets. */
  readonly host: string;
  /** 0 lets the operating system choose. */
  readonly port: number;
}

/**
 * Parses `host:port`. Host names are rejected, because the daemons connect to each other by IP address and
 * must start without a name server.
 *
 * @example
 * parseAddress('[::1]:7400'); // Ok({ host: '::1', port: 7400 })
 */
export function parseAddress(text: string): results.Result<SocketAddress, string> {
  const match = ADDRESS_PATTERN.exec(text);
  if (match === null) {
    return results.Err('use IP:PORT, for example 10.20.0.11:8080 or [fd00::11]:8080');
  }
  const host = match[1] ?? match[2];
  const port = Number(match[3]);
  if (net.isIP(host) === 0) {
    return results.Err(`${host} is not an IP address`);
  }
  if (port > MAXIMUM_PORT) {
    return results.Err(`port ${port} is above ${MAXIMUM_PORT}`);
  }
  return results.Ok({ host, port });
}

/**
 * Formats an address so that `parseAddress` accepts it.
 *
 * @example
 * formatAddress({ host: '::1', port: 7400 }); // '[::1]:7400'
 */
export function formatAddress(address: SocketAddress): string {
  return address.host.includes(':')
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
}

const ADDRESS_PATTERN = /^(?:\[([0-9A-Fa-f:.]+)\]|([^:[\]]+)):(\d{1,5})$/;
const MAXIMUM_PORT = 65_535;
