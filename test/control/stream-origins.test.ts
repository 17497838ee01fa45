import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as control from '../../src/control';
import * as stateMachine from '../../src/control/state-machine';
import * as streamOrigins from '../../src/control/stream-origins';

const suite = uvu.suite('recorded streams');

const { RecordStreams, FindStreams } = control.CommandKind;
const AT = 1_790_000_000_000;

function record(state: stateMachine.ControlState, version: string, keys: string[], at = AT) {
  const begun = [{ softwareVersion: version, keys }];
  return stateMachine.apply(state, { kind: RecordStreams, begun }, at).state;
}

function find(
  state: stateMachine.ControlState,
  ...keys: string[]
): readonly control.BegunStreams[] {
  const { result } = stateMachine.apply(state, { kind: FindStreams, keys }, AT);
  return (result as control.StreamsFound).begun;
}

// Guards against a record that is lost with the memory of all replicas.
suite('a recorded stream is found after a snapshot, and no other one', () => {
  const state = record(stateMachine.EMPTY_CONTROL_STATE, 'v1', ['a', 'b']);
  const restored = stateMachine.decodeState(stateMachine.encodeState(state));
  assert.equal(find(restored, 'a', 'c'), [{ softwareVersion: 'v1', keys: ['a'] }]);
});

// Guards against a stream that goes on at the wrong version because two callers chose the same id.
suite('a key that was recorded for two versions is unknown', () => {
  const once = record(stateMachine.EMPTY_CONTROL_STATE, 'v1', ['a']);
  assert.equal(find(record(once, 'v2', ['a']), 'a'), []);
  assert.equal(find(record(once, 'v2', ['a'], AT + 20_000), 'a'), []);
  assert.equal(find(record(once, 'v1', ['a'], AT + 20_000), 'a').length, 1);
});

// Guards against a state that grows with every stream that was ever begun.
suite('records end after a minute and are limited in number', () => {
  const first = record(stateMachine.EMPTY_CONTROL_STATE, 'v1', ['a']);
  const kept = record(first, 'v1', ['b'], AT + 55_000);
  assert.is(find(kept, 'a').length, 1);
  const later = record(kept, 'v1', ['c'], AT + 70_000);
  assert.equal(find(later, 'a', 'b'), [{ softwareVersion: 'v1', keys: ['b'] }]);
  let origins = streamOrigins.EMPTY_STREAM_ORIGINS;
  for (let second = 0; second < 50; second += 1) {
    const keys = Array.from({ length: 10_000 }, (_, index) => `${second}/${index}`);
    origins = streamOrigins.recordStreams(
      origins,
      [{ softwareVersion: 'v1', keys }],
      AT + second * 1_000,
    );
  }
  assert.ok(origins.size <= 300_000, `${origins.size} streams`);
  assert.is(streamOrigins.originOf(origins, '49/9999'), 'v1');
});

// Guards against a register that reaches every daemon again although nothing has changed.
suite('software versions of the register change only when they differ', () => {
  const added = control.changeSoftwareVersions(control.EMPTY_REGISTER, 'desk', ['v2', 'v1'], []);
  assert.equal(added.softwareVersions.get('desk'), ['v1', 'v2']);
  assert.is(control.changeSoftwareVersions(added, 'desk', ['v1'], ['v3']), added);
  const removed = control.changeSoftwareVersions(added, 'desk', [], ['v1']);
  assert.equal(removed.softwareVersions.get('desk'), ['v2']);
  assert.is(removed.sequence, 2);
  const copy = control.decodeRegister(control.encodeRegister(removed));
  assert.equal(copy.softwareVersions.toJS(), { desk: ['v2'] });
});

suite.run();
