import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as requestLimitExchange from '../../src/gateway/request-limit-exchange';
import * as peersModule from './peers';

const suite = uvu.suite('exchange of request limits');

const { Leader, Follower, None } = control.ReplicaRole;

/** Three gateways and two control daemons, the first of which leads; each gateway's limits by server. */
function group() {
  const peers = new peersModule.Peers();
  const time = new clock.ManualClock();
  const start = (daemonId: string, role: control.ReplicaRole) => {
    const limits = new Map<string, number | undefined>();
    const exchange = new requestLimitExchange.RequestLimitExchange(
      { plane: peers.plane(daemonId, role), time },
      (serverId, perSecond) => limits.set(serverId, perSecond),
    );
    return { exchange, limits };
  };
  start('leader', Leader);
  start('follower', Follower);
  const gateways = ['gateway-0', 'gateway-1', 'gateway-2'].map((id) => start(id, None));
  const limitsOf = (serverId: string) => gateways.map(({ limits }) => limits.get(serverId));
  return { peers, time, gateways, limitsOf };
}

// Guards against hundreds of daemons that each send a request to a server in need to hear of its limit.
suite('a limit that one gateway has heard of is known to all, and so is its end', () => {
  const { time, gateways, limitsOf } = group();
  gateways[0].exchange.observe('engine-0', 1.2);
  time.advance(500);
  assert.equal(limitsOf('engine-0'), [1.2, 1.2, 1.2]);
  gateways[2].exchange.observe('engine-0', undefined);
  time.advance(500);
  assert.equal(limitsOf('engine-0'), [undefined, undefined, undefined]);
});

// Guards against a limit that an older answer ends while a newer one has named it.
suite('the newest answer counts, in whatever order the reports arrive', () => {
  const { peers, time, gateways, limitsOf } = group();
  gateways[0].exchange.observe('engine-0', 3);
  time.advance(500);
  peers.isCut = true;
  gateways[1].exchange.observe('engine-0', undefined);
  time.advance(300);
  gateways[2].exchange.observe('engine-0', 2);
  peers.isCut = false;
  time.advance(3_000);
  assert.equal(limitsOf('engine-0'), [2, 2, 2]);
});

// Guards against a limit that is forgotten with the leader, or by a daemon that starts late.
suite('a new leader tells the limits to daemons that do not know them', () => {
  const { peers, time, gateways } = group();
  gateways[0].exchange.observe('engine-0', 1.2);
  time.advance(20_000);
  peers.lead('leader', Follower);
  peers.lead('follower', Leader);
  const limits = new Map<string, number | undefined>();
  const late = new requestLimitExchange.RequestLimitExchange(
    { plane: peers.plane('gateway-3', None), time },
    (serverId, perSecond) => limits.set(serverId, perSecond),
  );
  gateways[1].exchange.observe('engine-1', 5);
  time.advance(3_000);
  assert.is(limits.get('engine-0'), 1.2);
  late.close();
});

// Guards against messages and log lines for each answer of servers that name no limit.
suite('answers without a limit cause no message', () => {
  const { peers, time, gateways } = group();
  gateways.forEach(({ exchange }) => exchange.observe('engine-0', undefined));
  time.advance(10_000);
  assert.is(peers.bytes, 0);
});

// Guards against a daemon that stops because a peer sends something else.
suite('a malformed message is ignored', () => {
  const { peers, time, gateways, limitsOf } = group();
  const stranger = peers.plane('stranger', None);
  stranger.broadcast(control.PeerTopic.RequestLimits, { limits: [['engine-0', -1, 0]] });
  gateways[0].exchange.observe('engine-0', 4);
  time.advance(500);
  assert.equal(limitsOf('engine-0'), [4, 4, 4]);
});

suite.run();
