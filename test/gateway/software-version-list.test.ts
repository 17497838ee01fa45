import * as results from 'ts-results';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as softwareVersionList from '../../src/gateway/software-version-list';
import * as softwareVersionRegistrar from '../../src/gateway/software-version-registrar';
import * as countedList from './counted-list';

const suite = uvu.suite('software versions in the list');

const { service: SERVICE } = countedList.RECORD;

function server(id: string, softwareVersion: string, phase = backend.MachinePhase.Live) {
  return { ...countedList.RECORD, id, softwareVersion, phase };
}

/** The list of a control daemon that commits what it proposes. */
class Daemon {
  readonly time = new clock.ManualClock();

  register = control.EMPTY_REGISTER;

  role = control.ReplicaRole.Leader;

  hasMajority = true;

  private readonly source = new countedList.CountedList();

  private readonly plane = {
    register: () => this.register,
    leadership: () => ({ role: this.role, term: 1 }),
    propose: async (command: control.Command) => {
      await Promise.resolve();
      if (!this.hasMajority || command.kind !== control.CommandKind.ChangeSoftwareVersions) {
        return new results.Err(control.ProposalFailure.NoLeader);
      }
      const { service, added, removed } = command;
      this.register = control.changeSoftwareVersions(this.register, service, added, removed);
      return new results.Ok({ kind: control.CommandResultKind.Done } as const);
    },
  };

  private readonly registrar = new softwareVersionRegistrar.SoftwareVersionRegistrar({
    plane: this.plane,
    time: this.time,
  });

  private readonly list = new softwareVersionList.SoftwareVersionList(
    this.source,
    this.plane,
    (machines) => this.registrar.observe(machines),
  );

  /** Ids of the servers that the other daemons see. */
  async read(...machines: backend.MachineRecord[]): Promise<string[]> {
    this.source.records = machines;
    const read = await this.list.read();
    await new Promise(setImmediate);
    return read.unwrap().map(({ id }) => id);
  }

  versions(): readonly string[] {
    return this.register.softwareVersions.get(SERVICE, []);
  }
}

// Guards against streams of a version that no later gateway could know of.
suite('a server of a new version is used only once all daemons can know of it', async () => {
  const daemon = new Daemon();
  await daemon.read(server('old', 'v1'));
  assert.equal(await daemon.read(server('old', 'v1'), server('new', 'v2')), ['old']);
  assert.equal(daemon.versions(), ['v1', 'v2']);
  assert.equal(await daemon.read(server('old', 'v1'), server('new', 'v2')), ['old', 'new']);
});

// Guards against a service without servers while no leader can record their version.
suite('servers of a new version serve when no other one is left', async () => {
  const daemon = new Daemon();
  await daemon.read(server('old', 'v1'));
  daemon.hasMajority = false;
  const leaving = server('old', 'v1', backend.MachinePhase.Leaving);
  assert.equal(await daemon.read(leaving, server('new', 'v2')), ['old', 'new']);
});

// Guards against streams that are joined because their version was forgotten with its last server.
suite('a version is kept for a minute after its last server has left', async () => {
  const daemon = new Daemon();
  await daemon.read(server('old', 'v1'), server('new', 'v2'));
  await daemon.read(server('new', 'v2'));
  daemon.time.advance(59_000);
  await daemon.read(server('new', 'v2'));
  assert.equal(daemon.versions(), ['v1', 'v2']);
  daemon.time.advance(2_000);
  await daemon.read(server('new', 'v2'));
  assert.equal(daemon.versions(), ['v2']);
});

// Guards against a new leader that counts the time of an earlier one, in which it has read no list.
suite('a daemon that leads again waits for the whole time', async () => {
  const daemon = new Daemon();
  await daemon.read(server('old', 'v1'), server('new', 'v2'));
  await daemon.read(server('new', 'v2'));
  daemon.role = control.ReplicaRole.Follower;
  daemon.time.advance(61_000);
  await daemon.read(server('new', 'v2'));
  daemon.role = control.ReplicaRole.Leader;
  await daemon.read(server('new', 'v2'));
  assert.equal(daemon.versions(), ['v1', 'v2']);
});

suite.run();
