import type * as backend from '../backend';
import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';

/** Dependencies of the registrar. */
export interface RegistrarPorts {
  readonly plane: Pick<control.ControlPlane, 'propose' | 'register' | 'leadership'>;
  readonly time: clock.Clock;
}

/**
 * Keeps the register's software versions of each service: while this daemon leads, it adds versions that appear in the
 * platform's list, and removes versions some time after their last server has left.
 */
export class SoftwareVersionRegistrar {
  /** Monotonic time in milliseconds since which a registered version is not in the list, by service and version. */
  private readonly absentSince = new Map<string, number>();

  private isProposing = false;

  constructor(private readonly ports: RegistrarPorts) {}

  /** Compares a list that was read just now with the register. */
  async observe(machines: readonly backend.MachineRecord[]): Promise<void> {
    const { plane, time } = this.ports;
    if (plane.leadership().role !== control.ReplicaRole.Leader) {
      this.absentSince.clear();
      return;
    }
    const changes = this.changes(versionsByService(machines), time.monotonic());
    if (this.isProposing || changes.length === 0) {
      return;
    }
    this.isProposing = true;
    await Promise.all(changes.map((change) => this.propose(change)));
    this.isProposing = false;
  }

  private changes(
    listed: ReadonlyMap<string, ReadonlySet<string>>,
    now: number,
  ): readonly control.ChangeSoftwareVersionsCommand[] {
    const registered = this.ports.plane.register().softwareVersions;
    const services = new Set([...listed.keys(), ...registered.keys()]);
    return [...services].flatMap((service) => {
      const present = listed.get(service) ?? new Set<string>();
      const known = registered.get(service) ?? [];
      const added = [...present].filter((version) => !known.includes(version));
      const removed = known.filter((version) =>
        this.isObsolete(`${service}/${version}`, present.has(version), now),
      );
      const kind = control.CommandKind.ChangeSoftwareVersions;
      return added.length + removed.length === 0 ? [] : [{ kind, service, added, removed }];
    });
  }

  private isObsolete(id: string, isListed: boolean, now: number): boolean {
    if (isListed) {
      this.absentSince.delete(id);
      return false;
    }
    const since = this.absentSince.get(id) ?? now;
    this.absentSince.set(id, since);
    return now - since >= RETENTION_MILLISECONDS;
  }

  private async propose(change: control.ChangeSoftwareVersionsCommand): Promise<void> {
    const { service, added, removed } = change;
    const result = await this.ports.plane.propose(change, PROPOSAL_MILLISECONDS);
    const fields = { service, added: added.join(','), removed: removed.join(',') };
    if (result.ok) {
      logger.information('software versions of a service changed', fields);
    } else {
      logger.warning('software versions of a service could not be recorded; trying again', {
        ...fields,
        reason: result.val,
      });
    }
  }
}

function versionsByService(
  machines: readonly backend.MachineRecord[],
): ReadonlyMap<string, ReadonlySet<string>> {
  const versions = new Map<string, Set<string>>();
  machines.forEach(({ service, softwareVersion }) => {
    if (softwareVersion !== undefined) {
      versions.set(service, (versions.get(service) ?? new Set()).add(softwareVersion));
    }
  });
  return versions;
}

const logger = new logging.Logger('streams');

/** As long as the streams of a server that has left may still be taken up. */
const RETENTION_MILLISECONDS = 60_000;

const PROPOSAL_MILLISECONDS = 1_000;
