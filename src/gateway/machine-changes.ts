import type * as backend from '../backend';

/** What turns one list of VMs into the next. */
export interface MachineChanges {
  /** VMs that are new or have changed. */
  readonly changed: readonly backend.MachineRecord[];
  /** Ids of the VMs that are gone. */
  readonly removed: readonly string[];
}

/**
 * The changes from one list to the next.
 *
 * @example
 * changesBetween([first], [first, second]); // { changed: [second], removed: [] }
 */
export function changesBetween(
  before: readonly backend.MachineRecord[],
  after: readonly backend.MachineRecord[],
): MachineChanges {
  const known = new Map(before.map((record) => [record.id, JSON.stringify(record)]));
  const left = new Set(after.map(({ id }) => id));
  return {
    changed: after.filter((record) => known.get(record.id) !== JSON.stringify(record)),
    removed: [...known.keys()].filter((id) => !left.has(id)),
  };
}

/** The list after the changes; VMs keep their places, and new ones follow. */
export function applyChanges(
  before: readonly backend.MachineRecord[],
  { changed, removed }: MachineChanges,
): readonly backend.MachineRecord[] {
  const records = new Map(before.map((record) => [record.id, record]));
  changed.forEach((record) => records.set(record.id, record));
  removed.forEach((id) => records.delete(id));
  return [...records.values()];
}
