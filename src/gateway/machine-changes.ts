import type * as backend from '../backend';

/** Difference between two successive lists of VMs. */
export interface MachineChanges {
  /** VMs that are new or have changed. */
  readonly changed: readonly backend.MachineRecord[];
  /** Ids of the VMs that are no longer in the list. */
  readonly removed: readonly string[];
}

/**
 * Computes the changes from one list to the next.
 *
 * @example
 * changesBetween([first], [first, second]); // { changed: [second], removed: [] }
 */
export function changesBetween(
  before: readonly backend.MachineRecord[],
  after: readonly backend.MachineRecord[],
): MachineChanges {
  const previous = new Map(before.map((record) => [record.id, JSON.stringify(record)]));
  const remainingIds = new Set(after.map(({ id }) => id));
  return {
    changed: after.filter((record) => previous.get(record.id) !== JSON.stringify(record)),
    removed: [...previous.keys()].filter((id) => !remainingIds.has(id)),
  };
}

/** Applies changes to a list; VMs keep their order, and new ones are appended. */
export function applyChanges(
  before: readonly backend.MachineRecord[],
  { changed, removed }: MachineChanges,
): readonly backend.MachineRecord[] {
  const records = new Map(before.map((record) => [record.id, record]));
  changed.forEach((record) => records.set(record.id, record));
  removed.forEach((id) => records.delete(id));
  return [...records.values()];
}
