import type * as state from './state';
import type * as steps from './step';

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
 * Whether a started stream whose attempt has failed may run somewhere: at another server, or at one that was offered the stream
 * and was late, since that one counts already. A server at which an attempt failed by itself is no reason to wait.
 */
export function mayStreamRunAgain(step: steps.Step, request: state.RequestState): boolean {
  const { lateServers = [] } = request;
  return (
    allowsAnotherServer(request) ||
    // One that is suspected at this moment may only have reset a probe, and the stream can wait.
    lateServers.some((id) => step.state.servers.get(id)?.eligible === true)
  );
}

/** Whether a request may run at a server that it has not been sent to, besides those at which it runs now. */
export function mayRunElsewhere({
  profile,
  triedServers = [],
  attempts,
}: state.RequestState): boolean {
  const used = new Set([...triedServers, ...attempts.map(({ serverId }) => serverId)]);
  return used.size < (profile.maximumAttempts ?? Infinity);
}

function allowsAnotherServer({ profile, triedServers = [] }: state.RequestState): boolean {
  return new Set(triedServers).size < (profile.maximumAttempts ?? Infinity);
}
