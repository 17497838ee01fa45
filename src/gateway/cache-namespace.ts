/**
 * The namespace of the parts that teams share.
 *
 * @param since version of the routing document since which they share them; absent if they never had to start anew
 * @example
 * sharedNamespace('desk', 7); // 'desk:7'
 */
export function sharedNamespace(model: string, since: number | undefined): string {
  return since === undefined ? escapeModel(model) : `${escapeModel(model)}:${since}`;
}

/**
 * The namespace of the parts of an isolated team.
 *
 * @example
 * isolatedNamespace('desk', 'depot'); // 'desk.depot'
 */
export function isolatedNamespace(model: string, team: string): string {
  return `${escapeModel(model)}.${team}`;
}

/** Removes the separators from a name, so that two namespaces are never the same text. */
function escapeModel(model: string): string {
  return model.replaceAll(/[%.:]/g, (separator) => `%${separator.charCodeAt(0).toString(16)}`);
}
