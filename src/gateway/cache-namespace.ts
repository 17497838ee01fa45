/** Whose cached prompt parts a request uses and makes. */
export interface CacheOwner {
  readonly team?: string;
  /**
   * Set for a caller whose credential the routing document does not contain: a text that no other request has. Its team may be
   * one of a newer document, and isolated.
   */
  readonly unknownCaller?: string;
}

/** A backend server, as far as its weights are known. */
export interface CachingServer {
  readonly id: string;
  readonly weightsVersion?: string;
}

/**
 * The namespace of the parts that teams share.
 *
 * @param since version of the routing document since which they share them; absent if they never had to start anew
 * @example
 * sharedNamespace('desk', 7); // 'desk:7'
 */
export function sharedNamespace(model: string, since: number | undefined): string {
  return since === undefined ? escapeName(model) : `${escapeName(model)}:${since}`;
}

/**
 * The namespace of the parts of one owner, which nobody shares. Callers without a team and with a known model have one together.
 *
 * @param model empty if it is not known
 * @example
 * isolatedNamespace('desk', { team: 'depot' }); // 'desk.depot'
 */
export function isolatedNamespace(
  model: string,
  { team, unknownCaller = '' }: Pick<CacheOwner, 'team' | 'unknownCaller'>,
): string {
  return team === undefined
    ? `${escapeName(model)}!${unknownCaller}`
    : `${escapeName(model)}.${visible(team.replaceAll('%', '%25'))}`;
}

/**
 * The text under which a server finds cached parts. Parts that were made with unknown weights are found at the same server only,
 * which drops them when its weights change. An absent text would be one that all such requests share.
 *
 * @example
 * cacheSalt('desk.depot', { id: 'i-1', weightsVersion: '3' }); // '3.desk.depot'
 * cacheSalt('desk.depot', { id: 'i-1' }); // '@i-1.desk.depot'
 */
export function cacheSalt(namespace: string, { id, weightsVersion }: CachingServer): string {
  return `${weightsVersion ?? `@${escapeName(id)}`}.${namespace}`;
}

/** Removes the separators from a name, so that two namespaces are never the same text. */
function escapeName(name: string): string {
  return visible(
    name.replaceAll(/[%.:!]/g, (separator) => `%${separator.charCodeAt(0).toString(16)}`),
  );
}

/** Replaces what a header cannot contain, or loses at its ends; expects that `%` in the name is escaped already. */
function visible(name: string): string {
  return name.replaceAll(/[^!-~]/gu, (other) => `%u${other.codePointAt(0)!.toString(16)};`);
}
