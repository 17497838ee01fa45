import type * as results from 'ts-results';
import * as backend from '../backend';
import type * as control from '../control';
import type * as verdict from '../verdict';

/** Called with the list as the platform sent it. */
export type ListListener = (machines: readonly backend.MachineRecord[]) => void;

/**
 * The platform's list without servers of software versions that the register does not name yet. A version must be known to
 * all daemons that may serve a later try of a caller before it begins a stream.
 */
export class SoftwareVersionList extends backend.MachineList {
  constructor(
    private readonly source: backend.MachineList,
    private readonly plane: Pick<control.ControlPlane, 'register'>,
    private readonly onRead: ListListener = () => {},
  ) {
    super();
  }

  override async read(): Promise<
    results.Result<readonly backend.MachineRecord[], verdict.RequestFailure>
  > {
    const read = await this.source.read();
    return read.map((machines) => {
      this.onRead(machines);
      return this.withoutUnknownVersions(machines);
    });
  }

  /** A service without a live server of a known version keeps all: nothing else could serve it. */
  private withoutUnknownVersions(
    machines: readonly backend.MachineRecord[],
  ): readonly backend.MachineRecord[] {
    const { softwareVersions } = this.plane.register();
    const isKnown = ({ service, softwareVersion }: backend.MachineRecord) =>
      softwareVersion === undefined ||
      softwareVersions.get(service)?.includes(softwareVersion) === true;
    const served = new Set(
      machines
        .filter((machine) => machine.phase === backend.MachinePhase.Live && isKnown(machine))
        .map(({ service }) => service),
    );
    return machines.filter((machine) => isKnown(machine) || !served.has(machine.service));
  }
}
