import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as wire from '../../src/wire';

const suite = uvu.suite('peer network');

const SETTLE_MILLISECONDS = 50;

async function listening(daemonId: string, onPeerReady = () => {}): Promise<wire.PeerNetwork> {
  const network = new wire.PeerNetwork(
    {
      daemonId,
      zone: 'zone-a',
      listenHost: '127.0.0.1',
      listenPort: 0,
      preSharedKey: 'key',
      clock: new clock.SystemClock(),
      random: new clock.SeededRandomSource(1),
      heartbeat: () => ({}),
    },
    { onPeerReady, onPeerLost: () => {}, onMessage: () => {} },
  );
  await network.listen();
  return network;
}

// Replicas are given among the peers and once more by themselves: a second link doubled their heartbeats.
suite('an address that is given twice gets one link', async () => {
  let links = 0;
  let onFirst = () => {};
  const first = new Promise<void>((resolve) => {
    onFirst = resolve;
  });
  const left = await listening('left', () => {
    links += 1;
    onFirst();
  });
  const right = await listening('right');
  left.connect([right.address, right.address]);
  left.connect([right.address]);
  await first;
  await new clock.SystemClock().sleep(SETTLE_MILLISECONDS);
  assert.is(links, 1);
  const traffic = left.traffic().get('right');
  assert.ok(traffic !== undefined && traffic.sentBytes > 0 && traffic.receivedBytes > 0);
  await left.close();
  await right.close();
});

suite.run();
