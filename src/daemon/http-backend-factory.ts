import * as backend from '../backend';
import * as clock from '../clock';
import * as routing from '../routing';

/** Makes HTTP clients for backend servers. */
export class HttpBackendFactory extends routing.BackendFactory {
  constructor(private readonly time: clock.Clock) {
    super();
  }

  override engine(machine: backend.MachineRecord): backend.ModelEngine {
    return new backend.HttpModelEngine(addressOf(machine), this.time);
  }

  override plainService(machine: backend.MachineRecord): backend.PlainService {
    return new backend.HttpPlainService(addressOf(machine), this.time);
  }
}

function addressOf(machine: backend.MachineRecord): backend.BackendAddress {
  return { serverId: machine.id, host: machine.host, port: machine.port };
}
