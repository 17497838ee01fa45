import * as fs from 'node:fs/promises';
import * as results from 'ts-results';
import * as verdict from '../verdict';
import * as machine from './machine';
import * as machineListFormat from './machine-list-format';

/** Reads the platform's list of VMs from a JSON file, which the platform replaces atomically by a rename. */
export class FileMachineList extends machine.MachineList {
  constructor(private readonly path: string) {
    super();
  }

  override async read(): Promise<
    results.Result<readonly machine.MachineRecord[], verdict.RequestFailure>
  > {
    try {
      return machineListFormat.parseMachineList(await fs.readFile(this.path, 'utf8'));
    } catch {
      const { NotRun } = verdict.Verdict;
      const message = "The platform's list of VMs cannot be read.";
      return results.Err(verdict.failure(verdict.FailureReason.ConnectFailed, NotRun, message));
    }
  }
}
