import type * as wire from '../wire';

/** A linked daemon. */
export type Neighbour = Pick<wire.PeerIdentity, 'address' | 'zone'>;

/**
 * Which daemons a control daemon names to each of the others, as those to ask when it has lost all control daemons. They are
 * few, lie in other availability zones if there are any, as a zone may be cut off as a whole, and differ from daemon to daemon,
 * so that no daemon is named to the whole fleet.
 *
 * @example
 * new Neighbours([{ address: 'a:1', zone: 'x' }, { address: 'b:1', zone: 'y' }]).of({ address: 'a:1', zone: 'x' }); // ['b:1']
 */
export class Neighbours {
  /** All daemons, so that those of one zone are far apart. */
  private readonly ring: readonly Neighbour[];

  private readonly positions: ReadonlyMap<string, number>;

  constructor(daemons: readonly Neighbour[]) {
    this.ring = interleaveZones(daemons);
    this.positions = new Map(this.ring.map(({ address }, position) => [address, position]));
  }

  of(daemon: Neighbour): readonly string[] {
    const start = this.positions.get(daemon.address) ?? 0;
    const length = Math.min(this.ring.length, MAXIMUM_SCANNED);
    const following = Array.from(
      { length },
      (_, offset) => this.ring[(start + offset) % this.ring.length],
    ).filter(({ address }) => address !== daemon.address);
    const elsewhere = following.filter(({ zone }) => zone !== daemon.zone);
    const isFirstOfZone = ({ zone }: Neighbour, position: number) =>
      elsewhere.findIndex((other) => other.zone === zone) === position;
    const preferred = [...elsewhere.filter(isFirstOfZone), ...elsewhere, ...following];
    return [...new Set(preferred.map(({ address }) => address))].slice(0, MAXIMUM_NEIGHBOURS);
  }
}

/** Takes one daemon of each zone in turn. */
function interleaveZones(daemons: readonly Neighbour[]): readonly Neighbour[] {
  const zones = new Map<string, Neighbour[]>();
  [...daemons]
    .sort((left, right) => left.address.localeCompare(right.address))
    .forEach((daemon) => zones.set(daemon.zone, [...(zones.get(daemon.zone) ?? []), daemon]));
  const columns = [...zones.values()];
  const rows = Math.max(0, ...columns.map(({ length }) => length));
  return Array.from({ length: rows }, (_, row) =>
    columns.flatMap((column) => column.slice(row, row + 1)),
  ).flat();
}

const MAXIMUM_NEIGHBOURS = 3;

/** Bounds the time that one heartbeat takes in a large fleet; the next few daemons on the ring lie in different zones. */
const MAXIMUM_SCANNED = 32;
