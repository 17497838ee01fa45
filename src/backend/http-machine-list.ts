import * as results from 'ts-results';
import * as clock from '../clock';
import * as verdict from '../verdict';
import * as backendAddress from './backend-address';
import * as backendLimits from './backend-limits';
import * as connectionPool from './connection-pool';
import * as machine from './machine';
import * as machineListFormat from './machine-list-format';
import * as managementClient from './management-client';

/** Reads the platform's list of VMs from `GET /machines`, each time on a new connection. */
export class HttpMachineList extends machine.MachineList {
  private readonly client: managementClient.ManagementClient;

  constructor(
    address: backendAddress.BackendAddress,
    time: clock.Clock,
    limits: backendLimits.BackendLimits = backendLimits.DEFAULT_LIMITS,
  ) {
    super();
    const pool = new connectionPool.ConnectionPool(address, limits, time);
    this.client = new managementClient.ManagementClient(address, limits, time, pool);
  }

  override async read(): Promise<
    results.Result<readonly machine.MachineRecord[], verdict.RequestFailure>
  > {
    const call = { method: 'GET', path: '/machines', freshConnection: true } as const;
    const result = await this.client.call(call);
    if (result.err) {
      return result;
    }
    const { status, body } = result.val;
    return status === 200
      ? machineListFormat.parseMachineList(body.toString('utf8'))
      : results.Err(this.client.unexpectedAnswer(status));
  }
}
