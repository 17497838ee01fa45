import type * as state from './state';

/**
 * Whether a request may run at a server without running at more servers than its route allows.
 *
 * @example
 * mayRunAt({ ...request, triedServers: ['i-1', 'i-2'] }, 'i-2'); // true, whatever the route allows
 */
export function mayRunAt(request: state.RequestState, serverId: string): boolean {
  const { triedServers = [] } = request;
  return triedServers.includes(serverId) || allowsAnotherServer(request);
}

/**
 * Whether a started stream whose attempt has failed may run somewhere. A stream that was offered to a server which was late may
 * go on there, since that one counts already.
 */
export function mayStreamRunAgain(request: state.RequestState, failedServer: string): boolean {
  const { triedServers = [] } = request;
  return allowsAnotherServer(request) || triedServers.some((id) => id !== failedServer);
}

function allowsAnotherServer({ profile, triedServers = [] }: state.RequestState): boolean {
  return new Set(triedServers).size < (profile.maximumAttempts ?? Infinity);
}
