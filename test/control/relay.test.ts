import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as control from '../../src/control';
import * as relay from '../../src/control/relay';

const suite = uvu.suite('relay');

function peer(daemonId: string, zone: string, connected = true): control.PeerStatus {
  return { daemonId, zone, connected, address: '', revision: 0, millisecondsSinceHeard: 0 };
}

const ANNOUNCEMENT: relay.Announcement = {
  ownDaemonId: 'b',
  ownZone: 'here',
  fromZone: 'there',
  peers: [peer('a', 'here'), peer('c', 'here'), peer('0', 'there')],
  behindMilliseconds: 0,
};

/** Guards against replicas that send each revision to every daemon of every zone. */
suite('only one daemon of a zone requests from other zones', () => {
  assert.is(relay.mayRequest(ANNOUNCEMENT), false);
  assert.is(relay.mayRequest({ ...ANNOUNCEMENT, ownDaemonId: 'Z' }), true);
  assert.is(relay.mayRequest({ ...ANNOUNCEMENT, fromZone: 'here' }), true);
});

/** Guards against a zone that stays on an old revision because its relaying daemon is gone or suspended. */
suite('the others request from other zones when the relaying daemon is gone or slow', () => {
  const peers = [peer('a', 'here', false)];
  assert.is(relay.mayRequest({ ...ANNOUNCEMENT, peers }), true);
  assert.is(relay.mayRequest({ ...ANNOUNCEMENT, behindMilliseconds: 500 }), true);
});

suite.run();
