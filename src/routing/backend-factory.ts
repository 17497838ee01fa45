import type * as backendPool from './backend-pool';
import * as backend from '../backend';

/** Port that makes the clients of backend servers; `undici` behind it in the daemon. */
export abstract class BackendFactory {
  /** The client for the kind of server that the record names. */
  abstract open(machine: backend.MachineRecord): backendPool.BackendClient;
}
