import * as backend from '../backend';

/** Port that makes the clients of backend servers; `undici` behind it in the daemon. */
export abstract class BackendFactory {
  abstract engine(machine: backend.MachineRecord): backend.ModelEngine;

  abstract plainService(machine: backend.MachineRecord): backend.PlainService;
}
