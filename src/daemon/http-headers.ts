import type * as http from 'node:http';

/** Headers that belong to one connection, not to the message (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Headers of a request that the router sets itself or must not forward. */
const ROUTER_HEADERS = new Set([
  'authorization',
  'host',
  'content-length',
  'expect',
  'x-request-id',
  'x-not-run',
  'x-figline-team',
]);

/** Headers of an answer that the router sets itself. */
const ANSWER_HEADERS = new Set(['content-length', 'x-request-id', 'x-not-run', 'date']);

/**
 * The headers of a caller's request that are forwarded to a plain service, with the team in
 * `x-figline-team`. The caller's credential is not forwarded.
 *
 * @example
 * requestHeaders({ accept: 'text/plain', authorization: 'Bearer x' }, 'depot');
 * // { accept: 'text/plain', 'x-figline-team': 'depot' }
 */
export function requestHeaders(
  headers: http.IncomingHttpHeaders,
  team: string,
): Record<string, string> {
  const dropped = listedInConnection(headers.connection);
  const kept = Object.entries(headers)
    .filter(
      ([name]) => !CONNECTION_HEADERS.has(name) && !ROUTER_HEADERS.has(name) && !dropped.has(name),
    )
    .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : (value ?? '')]);
  return { ...Object.fromEntries(kept), 'x-figline-team': team };
}

/** The headers of a plain service's answer that are forwarded to the caller. */
export function answerHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
  const dropped = listedInConnection(headers.connection);
  return Object.fromEntries(
    Object.entries(headers).filter(
      ([name]) => !CONNECTION_HEADERS.has(name) && !ANSWER_HEADERS.has(name) && !dropped.has(name),
    ),
  );
}

function listedInConnection(connection: string | undefined): ReadonlySet<string> {
  return new Set((connection ?? '').split(',').map((name) => name.trim().toLowerCase()));
}
