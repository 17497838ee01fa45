import * as backend from '../backend';
import * as clock from '../clock';
import * as routing from '../routing';

/** Creates HTTP clients for backend servers. */
export class HttpBackendFactory extends routing.BackendFactory {
  constructor(private readonly time: clock.Clock) {
    super();
  }

  override open(machine: backend.MachineRecord): routing.BackendClient {
    const address = addressOf(machine);
    return machine.kind === backend.BackendKind.PlainService
      ? new backend.HttpPlainService(address, this.time)
      : new backend.HttpModelEngine(address, this.time);
  }
}

function addressOf(machine: backend.MachineRecord): backend.BackendAddress {
  return { serverId: machine.id, host: machine.host, port: machine.port };
}
