import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as emulator from '../../src/emulator';
import * as build from './build';

const suite = uvu.suite('plain service and VM list over HTTP');
suite.after.each(build.closeOwners);

const MACHINE: backend.MachineRecord = {
  id: 'runner-1',
  host: '127.0.0.1',
  port: 4_000,
  zone: 'pl-caudan',
  region: 'mauritius',
  service: 'inspection-desk',
  kind: backend.BackendKind.ModelEngine,
  phase: backend.MachinePhase.Live,
};

suite('a charge gets its complete answer, and the connection is reused', async () => {
  const owner = build.buildOwner();
  const { service, adapter } = await build.buildPlain(owner);
  const first = (await adapter.call(build.charge())).unwrap();
  assert.is(first.status, 201);
  assert.is(JSON.parse(Buffer.from(first.body).toString()).balanceCents, 250);
  assert.is(first.headers['transfer-encoding'], undefined);
  await adapter.call(build.charge());
  assert.is((await adapter.load()).unwrap().incarnation, service.incarnation);
  assert.is(service.report().acceptedConnections, 1);
});

// Guards against a server without weights whose empty version counts as a known one.
suite('an empty weights version in a probe is none', async () => {
  const owner = build.buildOwner();
  const { adapter } = await build.buildPlain(owner);
  assert.is((await adapter.probe()).unwrap().weightsVersion, undefined);
});

suite('a fresh connection is opened for the request and closed after it', async () => {
  const owner = build.buildOwner();
  const { service, adapter } = await build.buildPlain(owner);
  await adapter.call(build.charge());
  await adapter.call(build.charge({ freshConnection: true }));
  assert.is(service.report().acceptedConnections, 2);
  await build.eventually(() => service.report().openConnections === 1);
});

suite('a change of the VM list is visible after its delay', async () => {
  const owner = build.buildOwner();
  const time = new clock.ManualClock();
  const server = new emulator.EmulatedMachineList(500, time);
  await server.listen();
  owner.register('list', () => server.crash());
  const list = new backend.HttpMachineList(build.address(server.port), new clock.SystemClock());
  server.setMachines([MACHINE]);
  assert.equal((await list.read()).unwrap(), []);
  time.advance(500);
  assert.equal((await list.read()).unwrap(), [MACHINE]);
  await server.crash();
  assert.ok((await list.read()).err);
});

suite(
  'a list with one malformed record is rejected, so that no server seems to have left',
  async () => {
    const file = path.join(fs.mkdtempSync(path.join(os.tmpdir(), 'figline-')), 'machines.json');
    const list = new backend.FileMachineList(file);
    const read = (machines: readonly object[]) => {
      fs.writeFileSync(file, JSON.stringify({ machines }));
      return list.read();
    };
    assert.ok((await list.read()).err, 'a missing file was accepted');
    assert.equal((await read([MACHINE])).unwrap(), [MACHINE]);
    assert.ok((await read([MACHINE, { ...MACHINE, id: 'runner-2', port: 0 }])).err);
    assert.ok((await read([MACHINE, MACHINE])).err, 'a doubled id was accepted');
    fs.rmSync(path.dirname(file), { recursive: true });
  },
);

suite.run();
