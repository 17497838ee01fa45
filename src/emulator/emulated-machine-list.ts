import * as backend from '../backend';
import * as clock from '../clock';
import * as emulatedServer from './emulated-server';
import type * as receivedRequest from './received-request';
import type * as wholeAnswer from './whole-answer';

/** The platform's list of VMs; a change becomes visible after a delay. */
export class EmulatedMachineList extends emulatedServer.EmulatedServer {
  private visible: readonly backend.MachineRecord[];

  private pending: {
    readonly showAt: number;
    readonly machines: readonly backend.MachineRecord[];
  }[] = [];

  constructor(
    private readonly lagMilliseconds = 0,
    time: clock.Clock = new clock.SystemClock(),
    machines: readonly backend.MachineRecord[] = [],
  ) {
    super(time);
    this.visible = machines;
  }

  /** Replaces the list; readers get the new list after the delay. */
  setMachines(machines: readonly backend.MachineRecord[]): void {
    this.pending.push({ showAt: this.time.monotonic() + this.lagMilliseconds, machines });
  }

  override adjust(name: string, body: unknown): boolean {
    if (name === 'machines') {
      this.setMachines(body as readonly backend.MachineRecord[]);
      return true;
    }
    return super.adjust(name, body);
  }

  protected override async handle(
    request: receivedRequest.ReceivedRequest,
  ): Promise<wholeAnswer.WholeAnswer> {
    if (request.path !== '/machines' || request.method !== 'GET') {
      return { status: 404, body: { error: { code: 'unknown_path' } } };
    }
    const now = this.time.monotonic();
    const due = this.pending.filter((change) => change.showAt <= now);
    this.pending = this.pending.filter((change) => change.showAt > now);
    this.visible = due.at(-1)?.machines ?? this.visible;
    return { status: 200, body: { machines: this.visible } };
  }
}
