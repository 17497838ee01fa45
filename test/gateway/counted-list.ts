import * as results from 'ts-results';
import * as backend from '../../src/backend';

export const RECORD: backend.MachineRecord = {
  id: 'i-1',
  host: '10.0.0.1',
  port: 1,
  zone: 'z',
  region: 'r',
  service: 'desk',
  kind: backend.BackendKind.ModelEngine,
  phase: backend.MachinePhase.Live,
  weightsVersion: '1',
};

/** A list of VMs that counts how often it is read. */
export class CountedList extends backend.MachineList {
  reads = 0;

  records: readonly backend.MachineRecord[] = [RECORD];

  override async read() {
    this.reads += 1;
    return new results.Ok(this.records);
  }
}
