import * as daemonProcess from '../../src/demo/daemon-process';
import * as documents from '../../src/demo/example-documents';
import * as httpCall from '../../src/demo/http-call';
import * as localCluster from '../../src/demo/local-cluster';
import * as emulator from '../../src/emulator';

/** Sends a charge with an idempotency key; `undefined` when the connection broke. */
export async function charge(
  daemon: daemonProcess.DaemonProcess,
  key: string,
): Promise<httpCall.HttpAnswer | undefined> {
  try {
    return await httpCall.send({
      port: daemon.callerPort,
      method: 'POST',
      path: '/ledger/charges',
      token: documents.TEAM_TOKENS.depot,
      headers: { 'idempotency-key': key, 'content-type': 'application/json' },
      body: JSON.stringify({ account: 'stall-7', amountCents: 100 }),
    });
  } catch {
    return undefined;
  }
}

/** How often the plain services executed a key. */
export async function executionsOf(
  cluster: localCluster.LocalCluster,
  key: string,
): Promise<number> {
  const reports = await Promise.all(
    cluster.services.map((service) => service.control<emulator.PlainServiceReport>('report')),
  );
  return reports.reduce((sum, report) => sum + (report.executions[key] ?? 0), 0);
}
