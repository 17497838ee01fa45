import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as configuration from '../../src/configuration';
import * as control from '../../src/control';
import * as stateMachine from '../../src/control/state-machine';
import * as builder from './group-builder';

const suite = uvu.suite('state machine');
const { Claimed, Answered } = control.ClaimPhase;
const { CommandKind, CommandResultKind } = control;
const HOUR = 3_600_000;
const START = Date.UTC(2026, 0, 1);
const GRANTED = { kind: CommandResultKind.ClaimGranted };

/** Applies commands one after the other; `at` sets the time stamp of the next ones. */
class Machine {
  state = stateMachine.EMPTY_CONTROL_STATE;

  time = START;

  at(hours: number): this {
    this.time = START + hours * HOUR;
    return this;
  }

  apply(command: control.Command): control.CommandResult {
    const applied = stateMachine.apply(this.state, command, this.time);
    this.state = applied.state;
    return applied.result;
  }

  /** Continues from a serialised snapshot. */
  restart(): void {
    this.state = stateMachine.decodeState(stateMachine.encodeState(this.state));
  }
}

function complete(key: string, attemptId: string, bytes = 2): control.CompleteClaimCommand {
  const answer = { status: 201, headers: { etag: 'x' }, body: Buffer.alloc(bytes, 7) };
  return { kind: CommandKind.CompleteClaim, team: 'roasters', key, attemptId, answer };
}

function abandon(key: string, attemptId: string): control.AbandonClaimCommand {
  return { kind: CommandKind.AbandonClaim, team: 'roasters', key, attemptId };
}

function refusal(reason: control.ClaimRefusal): control.ClaimRefused {
  return { kind: CommandResultKind.ClaimRefused, refusal: reason };
}

/** A UUID version 7 that was created at the given time. */
function keyOf(milliseconds: number): string {
  const digits = milliseconds.toString(16).padStart(12, '0');
  return `${digits.slice(0, 8)}-${digits.slice(8)}-7cc3-98c4-dc0c0c07398f`;
}

/** Guards against a second run when an answer was lost and the command is sent again. */
suite('claims and publishes are idempotent by attempt id and publish id', () => {
  const machine = new Machine();
  assert.equal(machine.apply(builder.claim('k', 'one')), GRANTED);
  assert.equal(machine.apply(builder.claim('k', 'one')), GRANTED);
  const first = machine.apply(builder.publish('p', 0));
  assert.equal(machine.apply(builder.publish('p', 0)), first);
  assert.is(machine.state.revisions.snapshot.revision, 1);
});

/** Guards against two publishes on the same base that are both reported as accepted. */
suite('a stale base is a conflict that names the winner, also when it is sent again', () => {
  const machine = new Machine();
  machine.apply(builder.publish('winner', 0));
  machine.apply(builder.publish('later', 1));
  const conflict = {
    kind: CommandResultKind.PublishConflict,
    currentRevision: 2,
    winnerPublishId: 'winner',
    winnerAuthor: 'operator',
  };
  assert.equal(machine.apply(builder.publish('loser', 0)), conflict);
  machine.apply(builder.publish('third', 2));
  assert.equal(machine.apply(builder.publish('loser', 0)), conflict);
});

/** Guards against a second run by another router, and against another request under the same key. */
suite('a claimed key is reported to other attempts and refused for another request', () => {
  const machine = new Machine();
  machine.apply(builder.claim('k', 'one'));
  const held = { kind: CommandResultKind.ClaimHeld, phase: Claimed, attemptId: 'one' };
  assert.equal(machine.apply(builder.claim('k', 'two')), { ...held, answer: undefined });
  const other = { ...builder.claim('k', 'two'), fingerprint: 'other' };
  assert.equal(machine.apply(other), refusal(control.ClaimRefusal.FingerprintDiffers));
  machine.apply(complete('k', 'one'));
  const answered = machine.apply(builder.claim('k', 'one')) as control.ClaimHeld;
  assert.is(answered.phase, Answered);
  assert.is(answered.answer?.status, 201);
});

/** Guards against a claim that arrives after its router abandoned it and another attempt ran. */
suite('a late claim of an abandoned attempt is refused, before and after the key is reused', () => {
  const machine = new Machine();
  machine.apply(abandon('k', 'late'));
  const refused = refusal(control.ClaimRefusal.AttemptAbandoned);
  assert.equal(machine.apply(builder.claim('k', 'late')), refused);
  assert.equal(machine.apply(builder.claim('k', 'two')), GRANTED);
  machine.restart();
  assert.equal(machine.apply(builder.claim('k', 'late')), refused);
});

/** Guards against releasing a key whose request was executed. */
suite('an answered claim cannot be abandoned, and only its holder completes it', () => {
  const machine = new Machine();
  machine.apply(builder.claim('k', 'one'));
  machine.apply(complete('k', 'two'));
  assert.is((machine.apply(builder.claim('k', 'x')) as control.ClaimHeld).phase, Claimed);
  machine.apply(complete('k', 'one'));
  machine.apply(abandon('k', 'one'));
  assert.is((machine.apply(builder.claim('k', 'x')) as control.ClaimHeld).phase, Answered);
});

/** Guards against a replica whose memory long answers exhaust. */
suite('an answer over 16 KiB is not kept, but the key stays answered', () => {
  const machine = new Machine();
  machine.apply(builder.claim('k', 'one'));
  machine.apply(complete('k', 'one', control.MAXIMUM_RECORDED_BODY_BYTES + 1));
  const held = machine.apply(builder.claim('k', 'two')) as control.ClaimHeld;
  assert.is(held.phase, Answered);
  assert.is(held.answer, undefined);
});

/** Guards against running a request again after its claim was removed. */
suite('no claim is removed while its dated key is still accepted', () => {
  [-2, 0, 5].forEach((skewHours) => {
    const machine = new Machine();
    const key = keyOf(START + skewHours * HOUR);
    assert.equal(machine.apply(builder.claim(key, 'one')), GRANTED);
    for (let hours = 0; hours < 40; hours += 0.5) {
      const result = machine.at(hours).apply(builder.claim(key, 'two'));
      assert.is.not(result.kind, CommandResultKind.ClaimGranted, `${skewHours} ${hours}`);
      machine.restart();
    }
    assert.equal(
      machine.apply(builder.claim(key, 'two')),
      refusal(control.ClaimRefusal.KeyExpired),
    );
  });
});

/** Guards against refusing an opaque key only because it looks like an old UUID. */
suite('an opaque key does not expire', () => {
  const machine = new Machine();
  const request = builder.claim(keyOf(START - 100 * HOUR), 'one');
  const keyFormat = configuration.KeyFormat.Opaque;
  assert.equal(machine.apply(request), refusal(control.ClaimRefusal.KeyExpired));
  assert.equal(machine.apply({ ...request, keyFormat }), GRANTED);
});

/** Guards against memory that grows forever. */
suite('claims, abandoned attempts and publishes are removed after the retention period', () => {
  const machine = new Machine();
  machine.apply(builder.claim('k', 'one'));
  machine.apply(abandon('other', 'two'));
  machine.apply(builder.publish('p', 0));
  machine.at(25.1).apply({ kind: CommandKind.NoOperation });
  assert.is(machine.state.claims.claims.size, 0);
  assert.is(machine.state.claims.abandoned.size, 0);
  assert.is(machine.state.revisions.publishes.size, 0);
  assert.is(machine.state.revisions.snapshot.revision, 1);
});

suite.run();
