import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as decision from '../../src/decision';
import * as crashEvidenceExchange from '../../src/gateway/crash-evidence-exchange';
import type * as crashEvidenceMessage from '../../src/gateway/crash-evidence-message';
import * as peersModule from './peers';

const suite = uvu.suite('exchange of crash evidence');

const { Leader, Follower, None } = control.ReplicaRole;
const { ReportCrash, ReportSafeBegin } = decision.DecisionEffectKind;

/** Two gateways and two control daemons, the first of which leads. */
function group() {
  const peers = new peersModule.Peers();
  const time = new clock.ManualClock();
  const received = new Map<string, crashEvidenceMessage.EvidenceReport[]>();
  const start = (daemonId: string, role: control.ReplicaRole) => {
    received.set(daemonId, []);
    return new crashEvidenceExchange.CrashEvidenceExchange(
      { plane: peers.plane(daemonId, role), time },
      (report) => received.get(daemonId)!.push(report),
    );
  };
  start('leader', Leader);
  start('follower', Follower);
  const gateways = [start('gateway-0', None), start('gateway-1', None)];
  const causes = () =>
    received
      .get('gateway-1')!
      .at(-1)
      ?.crashes.map((reported) => reported.causes.join()) ?? [];
  return { peers, time, gateways, received, causes };
}

function crash(serverId: string, ...causes: readonly string[]): decision.ReportCrash {
  return { kind: ReportCrash, crashId: serverId, serverId, fingerprints: [], causes };
}

// Guards against evidence that stays with the gateway that has seen it.
suite('a part in flight at the crashes of two gateways is told to both', () => {
  const { time, gateways, causes } = group();
  gateways[0].report(crash('engine-0', 'harmful', 'a'));
  gateways[1].report(crash('engine-1', 'harmful', 'b'));
  time.advance(500);
  assert.equal(causes(), ['harmful', 'harmful']);
});

// Guards against evidence that is lost with a link or with the leader.
suite('evidence arrives although the link was cut, and a new leader still has it', () => {
  const { peers, time, gateways, causes } = group();
  peers.isCut = true;
  gateways[0].report(crash('engine-0', 'harmful'));
  time.advance(1_000);
  peers.isCut = false;
  gateways[1].report(crash('engine-1', 'harmful'));
  time.advance(1_000);
  assert.equal(causes(), ['harmful', 'harmful']);
  time.advance(20_000);
  peers.lead('leader', Follower);
  peers.lead('follower', Leader);
  gateways[0].report(crash('engine-2', 'harmful'));
  time.advance(1_000);
  assert.is(causes().length, 3);
});

// Guards against a part that one gateway holds against sound requests while others serve it.
suite('a gateway learns of safe begins that were reported before its crash report', () => {
  const { time, gateways, received } = group();
  time.advance(1_000);
  gateways[0].report({ kind: ReportSafeBegin, causes: ['sound'], at: time.monotonic() + 900 });
  gateways[1].report(crash('engine-1', 'sound'));
  time.advance(1_000);
  const last = received.get('gateway-1')!.at(-1);
  assert.equal(
    last?.safeBegins.map(({ cause }) => cause),
    ['sound'],
  );
});

// Guards against messages that go on for minutes after a crash.
suite('gateways fall silent when there is no recent evidence', () => {
  const { peers, time, gateways } = group();
  gateways[0].report(crash('engine-0', 'once'));
  time.advance(30_000);
  const before = peers.bytes;
  time.advance(30_000);
  assert.is(peers.bytes, before);
});

// Guards against a daemon that stops or forgets because a peer sends something else.
suite('a malformed message is ignored', () => {
  const { peers, time, gateways, causes } = group();
  const plane = peers.plane('stranger', None);
  [null, {}, { from: 'leader', crashes: [['x', -1, []]], safeBegins: [] }].forEach((payload) =>
    plane.broadcast(control.PeerTopic.CrashEvidence, payload),
  );
  gateways[0].report(crash('engine-0', 'harmful'));
  gateways[1].report(crash('engine-1', 'harmful'));
  time.advance(500);
  assert.equal(causes(), ['harmful', 'harmful']);
});

suite.run();
