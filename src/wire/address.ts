/** Host and port of a peer. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits `host:port`; an IPv6 host is written in brackets.
 *
 * @example
 * parseAddress('[::1]:7000'); // { host: '::1', port: 7000 }
 */
export function parseAddress(address: string): HostAndPort {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}

/** Joins host and port; the inverse of `parseAddress`. */
export function formatAddress(host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
