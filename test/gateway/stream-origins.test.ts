import * as results from 'ts-results';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as stateMachine from '../../src/control/state-machine';
import * as streamOrigins from '../../src/gateway/stream-origins';
import * as verdict from '../../src/verdict';

const suite = uvu.suite('software versions of streams over several tries');

const SERVICE = 'desk';

function stream(firstRequestId: string, team = 'depot'): streamOrigins.StreamIdentity {
  return { service: SERVICE, team, firstRequestId };
}

/** The replicated log of several gateways, which a test can make unreachable. */
class Log {
  readonly time = new clock.ManualClock();

  readonly proposals: control.Command[] = [];

  isReachable = true;

  listed: readonly string[] = [];

  private state = stateMachine.EMPTY_CONTROL_STATE;

  private readonly listeners = new Set<(register: control.Register) => void>();

  /** A gateway that has just started. */
  startGateway(): streamOrigins.StreamOrigins {
    return new streamOrigins.StreamOrigins({
      plane: {
        propose: async (command) => {
          this.proposals.push(command);
          return this.isReachable
            ? new results.Ok(this.apply(command))
            : new results.Err(control.ProposalFailure.NoLeader);
        },
        register: () => this.state.register,
        onRegister: (listener) => {
          this.listeners.add(listener);
          return () => this.listeners.delete(listener);
        },
      },
      time: this.time,
      listedVersions: () => this.listed,
    });
  }

  /** A gateway that has lost the leader: it keeps the register and the list of this moment and cannot ask. */
  startOutOfTouch(): streamOrigins.StreamOrigins {
    const { register } = this.state;
    const { listed } = this;
    return new streamOrigins.StreamOrigins({
      plane: {
        propose: async () => new results.Err(control.ProposalFailure.NoLeader),
        register: () => register,
        onRegister: () => () => {},
      },
      time: this.time,
      listedVersions: () => listed,
    });
  }

  /**
   * A gateway whose messages from the leader wait unread, such as one that stood still: it can ask, and its copies are those of
   * this moment until `deliver` is called.
   */
  startBehind(): { readonly gateway: streamOrigins.StreamOrigins; readonly deliver: () => void } {
    let { register } = this.state;
    let { listed } = this;
    const listeners = new Set<(register: control.Register) => void>();
    const gateway = new streamOrigins.StreamOrigins({
      plane: {
        propose: async (command) => {
          this.proposals.push(command);
          return new results.Ok(this.apply(command));
        },
        register: () => register,
        onRegister: (listener) => {
          listeners.add(listener);
          return () => listeners.delete(listener);
        },
      },
      time: this.time,
      listedVersions: () => listed,
    });
    const deliver = () => {
      ({ register } = this.state);
      ({ listed } = this);
      listeners.forEach((listener) => listener(register));
    };
    return { gateway, deliver };
  }

  /** A gateway whose questions are answered at once, but whose answers arrive only after some time. */
  startFarAway(answerMilliseconds: number): streamOrigins.StreamOrigins {
    const { register } = this.state;
    return new streamOrigins.StreamOrigins({
      plane: {
        propose: async (command, timeoutMilliseconds) => {
          this.proposals.push(command);
          const result = this.apply(command);
          await this.time.sleep(Math.min(answerMilliseconds, timeoutMilliseconds));
          return answerMilliseconds < timeoutMilliseconds
            ? new results.Ok(result)
            : new results.Err(control.ProposalFailure.Timeout);
        },
        register: () => register,
        onRegister: () => () => {},
      },
      time: this.time,
      listedVersions: () => ['v1'],
    });
  }

  /** Kinds of the messages so far. */
  get sentKinds(): readonly control.CommandKind[] {
    return this.proposals.map(({ kind }) => kind);
  }

  setVersions(...versions: string[]): this {
    const service = SERVICE;
    const before = this.state.register.softwareVersions.get(service, []);
    const removed = before.filter((version) => !versions.includes(version));
    const kind = control.CommandKind.ChangeSoftwareVersions;
    this.apply({ kind, service, added: versions, removed });
    this.listeners.forEach((listener) => listener(this.state.register));
    this.listed = versions;
    return this;
  }

  /** Lets timers and answers of the log arrive. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 5) {
      this.time.advance(5);
      await settle();
    }
  }

  private apply(command: control.Command): control.CommandResult {
    const applied = stateMachine.apply(this.state, command, this.time.now());
    this.state = applied.state;
    return applied.result;
  }
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) {
    await Promise.resolve();
  }
}

/** The version that a gateway finds; a failure reason if it refuses to go on. */
async function find(log: Log, gateway: streamOrigins.StreamOrigins, id: string, team?: string) {
  const found = gateway.find(stream(id, team));
  await settle();
  await log.advance(20);
  const origin = await found;
  return origin.ok ? origin.val : origin.val.reason;
}

const UNKNOWN = verdict.FailureReason.StreamOriginUnknown;

async function assertRefusedWithinSecond(
  log: Log,
  gateway: streamOrigins.StreamOrigins,
): Promise<void> {
  let origin: streamOrigins.Origin | undefined;
  gateway.find(stream('first')).then((found) => {
    origin = found;
  });
  await log.advance(1_000);
  assert.ok(origin?.err, 'no refusal');
  assert.is(origin.val.reason, UNKNOWN);
  assert.is(origin.val.verdict, verdict.Verdict.NotRun);
  assert.ok(origin.val.retryAfterMilliseconds! > 0);
}

// Guards against text joined from two versions after all gateways lost power at once.
suite(
  'a stream is known to a gateway that has started after the loss of all gateways',
  async () => {
    const log = new Log().setVersions('v1', 'v2');
    const lost = log.startGateway();
    lost.begin(stream('first'), 'v1');
    lost.begin(stream('second'), 'v2');
    await log.advance(50);
    const started = log.startGateway();
    assert.is(await find(log, started, 'first'), 'v1');
    assert.is(await find(log, started, 'second'), 'v2');
  },
);

// Guards against an old version that is forgotten as soon as its servers have left the list.
suite(
  'a stream of a version that has left the list is not taken for one of the new version',
  async () => {
    const log = new Log().setVersions('v1', 'v2');
    log.listed = ['v2'];
    const lost = log.startGateway();
    lost.begin(stream('first'), 'v1');
    await log.advance(50);
    const started = log.startGateway();
    assert.is(await find(log, started, 'first'), 'v1');
    assert.is(await find(log, started, 'unrecorded'), UNKNOWN);
  },
);

// Guards against streams that are lost because they began before the second version came.
suite('streams that began before a second version came are recorded when it comes', async () => {
  const log = new Log().setVersions('v1');
  const lost = log.startGateway();
  lost.begin(stream('first'), 'v1');
  lost.begin(stream('complete'), 'v1');
  lost.complete(stream('complete'));
  await log.advance(50);
  assert.equal(log.proposals, []);
  log.setVersions('v1', 'v2');
  await log.advance(50);
  assert.is(await find(log, log.startGateway(), 'first'), 'v1');
});

// Guards against streams that are lost because a gateway that stood still wrote their rest to callers who had left.
suite(
  'a stream that was written to its end is still known when its caller takes it up',
  async () => {
    const log = new Log().setVersions('v1');
    const gateway = log.startGateway();
    gateway.begin(stream('first'), 'v1');
    gateway.complete(stream('first'));
    log.setVersions('v1', 'v2');
    await log.advance(50);
    log.isReachable = false;
    assert.is(await find(log, gateway, 'first'), 'v1');
    log.isReachable = true;
    assert.is(await find(log, log.startGateway(), 'first'), 'v1');
  },
);

// Load pattern: a second version comes, and each gateway has completed many streams of the last minute.
suite(
  'streams that are complete for long are not recorded when a second version comes',
  async () => {
    const log = new Log().setVersions('v1');
    const gateway = log.startGateway();
    gateway.begin(stream('first'), 'v1');
    gateway.complete(stream('first'));
    await log.advance(15_000);
    log.setVersions('v1', 'v2');
    await log.advance(50);
    assert.equal(log.proposals, []);
  },
);

// Guards against refusals, records and waits while nothing can be joined wrongly.
suite('with one version every stream goes on, and only strange ones cost a message', async () => {
  const log = new Log().setVersions('v1');
  const gateway = log.startGateway();
  gateway.begin(stream('first'), 'v1');
  await log.advance(50);
  assert.is(await find(log, gateway, 'first'), 'v1');
  assert.equal(log.proposals, []);
  assert.is(await find(log, log.startGateway(), 'first'), 'v1');
  assert.is(await find(log, log.startGateway(), 'unrecorded'), 'v1');
  const { ReadRegister } = control.CommandKind;
  assert.equal(log.sentKinds, [ReadRegister, ReadRegister]);
});

// Guards against refusals of a gateway's own streams while there is no leader.
suite('with one version a gateway without a leader goes on with its own streams', async () => {
  const log = new Log().setVersions('v1');
  const gateway = log.startGateway();
  gateway.begin(stream('own'), 'v1');
  log.isReachable = false;
  assert.is(await find(log, gateway, 'own'), 'v1');
  assert.is(await find(log, gateway, 'other'), UNKNOWN);
});

// Guards against a copy of the list that shows a new version sooner than the register.
suite('a version that only the list shows counts as a second one', async () => {
  const log = new Log().setVersions('v1');
  log.listed = ['v1', 'v2'];
  assert.is(await find(log, log.startGateway(), 'unrecorded'), UNKNOWN);
});

// Guards against a caller that waits for an answer which nobody can give.
suite('a stream is refused at once if the leader cannot be asked', async () => {
  const log = new Log().setVersions('v1', 'v2');
  const gateway = log.startGateway();
  gateway.begin(stream('own'), 'v2');
  log.isReachable = false;
  assert.is(await find(log, gateway, 'own'), 'v2');
  assert.is(await find(log, gateway, 'other'), UNKNOWN);
});

// Guards against records that are lost while there is no leader.
suite('records that were not accepted are sent again until they are', async () => {
  const log = new Log().setVersions('v1', 'v2');
  log.isReachable = false;
  log.startGateway().begin(stream('first'), 'v1');
  await log.advance(1_000);
  log.isReachable = true;
  await log.advance(1_000);
  assert.is(await find(log, log.startGateway(), 'first'), 'v1');
  const sent = log.proposals.length;
  await log.advance(5_000);
  assert.is(log.proposals.length, sent);
});

// Guards against callers who learn of streams of another team or take its version for theirs.
suite('the same id of another team is another stream', async () => {
  const log = new Log().setVersions('v1', 'v2');
  log.startGateway().begin(stream('first', 'depot'), 'v1');
  await log.advance(50);
  assert.is(await find(log, log.startGateway(), 'first', 'market'), UNKNOWN);
});

// Guards against text joined by a gateway that has not heard of a second version yet.
suite(
  'a gateway that has lost the leader does not take the version that it knows for the only one',
  async () => {
    const log = new Log().setVersions('v1');
    const outOfTouch = log.startOutOfTouch();
    log.setVersions('v1', 'v2');
    log.startGateway().begin(stream('first'), 'v2');
    await log.advance(1_500);
    assert.is(await find(log, outOfTouch, 'first'), UNKNOWN);
  },
);

// Guards against text joined by a gateway that stood still and reads a take-up before the older messages of the leader.
suite('a gateway that stood still waits for what was committed before the take-up', async () => {
  const log = new Log().setVersions('v1');
  const { gateway, deliver } = log.startBehind();
  log.setVersions('v1', 'v2');
  log.startGateway().begin(stream('first'), 'v2');
  await log.advance(50);
  const found = gateway.find(stream('first'));
  await log.advance(50);
  deliver();
  await log.advance(50);
  const origin = await found;
  assert.is(origin.ok && origin.val, 'v2');
});

// Guards against a caller that waits for a register which does not arrive.
suite('a stream is refused within a second if the newer register does not arrive', async () => {
  const log = new Log().setVersions('v1');
  const { gateway } = log.startBehind();
  log.setVersions('v1', 'v2');
  await assertRefusedWithinSecond(log, gateway);
});

// Guards against a caller that waits for a leader which does not answer.
suite('a stream of the only version is refused within a second without an answer', async () => {
  const log = new Log().setVersions('v1');
  await assertRefusedWithinSecond(log, log.startFarAway(Infinity));
});

// Guards against text joined on the answer to a question that was asked before the take-up arrived.
suite('an answer counts only for take-ups that came before its question', async () => {
  const log = new Log().setVersions('v1');
  const gateway = log.startFarAway(100);
  const early = gateway.find(stream('early'));
  await log.advance(50);
  log.setVersions('v1', 'v2');
  const late = gateway.find(stream('late'));
  await log.advance(1_000);
  const [earlyOrigin, lateOrigin] = await Promise.all([early, late]);
  assert.is(earlyOrigin.ok && earlyOrigin.val, 'v1');
  assert.is(lateOrigin.err && lateOrigin.val.reason, UNKNOWN);
});

// Load pattern: all gateways have lost power, and the streams of thousands of callers are taken up within a second.
suite('streams that begin or are taken up together cost one message', async () => {
  const log = new Log().setVersions('v1', 'v2');
  const lost = log.startGateway();
  const ids = Array.from({ length: 200 }, (_, index) => `stream-${index}`);
  ids.forEach((id) => lost.begin(stream(id), 'v1'));
  await log.advance(50);
  assert.is(log.proposals.length, 1);
  const bytes = Buffer.byteLength(JSON.stringify(log.proposals[0]));
  assert.ok(bytes < 200 * 24, `${bytes} bytes`);
  const started = log.startGateway();
  const found = ids.map((id) => started.find(stream(id)));
  await log.advance(50);
  assert.ok((await Promise.all(found)).every((origin) => origin.ok && origin.val === 'v1'));
  assert.is(log.proposals.length, 2);
});

// Load pattern: the same loss of power while one version is in use.
suite('with one version streams that are taken up together cost one message', async () => {
  const log = new Log().setVersions('v1');
  const started = log.startGateway();
  const ids = Array.from({ length: 200 }, (_, index) => `stream-${index}`);
  const found = ids.map((id) => started.find(stream(id)));
  await log.advance(50);
  assert.ok((await Promise.all(found)).every((origin) => origin.ok && origin.val === 'v1'));
  assert.equal(log.sentKinds, [control.CommandKind.ReadRegister]);
});

suite.run();
