import type * as backendPool from './backend-pool';
import * as backend from '../backend';

/** Creates the clients of backend servers; the daemon's implementation uses `undici`. */
export abstract class BackendFactory {
  /** Creates a client for the kind of server in the record; it reports to `run` what answers say of the server's run. */
  abstract open(machine: backend.MachineRecord, run: backend.ServerRun): backendPool.BackendClient;
}
