import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as peerAddresses from '../../src/demo/peer-addresses';

const suite = uvu.suite('peer addresses');

// Guards against a daemon that cannot bind its port because an outgoing connection uses it.
suite('ports are below those of outgoing connections, on a separate loopback address', () => {
  const addresses = [0, 57, 99, 100].flatMap((cluster) =>
    peerAddresses.peerAddresses(4_194_303, cluster, 8),
  );
  addresses.forEach((address) => {
    const [host, port] = address.split(':');
    assert.ok(Number(port) >= 1_024 && Number(port) < 32_768, address);
    assert.is.not(host, '127.0.0.1');
  });
});

suite('clusters and processes have different addresses', () => {
  const clusters = [0, 1, 2].flatMap((cluster) => peerAddresses.peerAddresses(70_001, cluster, 8));
  const other = peerAddresses.peerAddresses(70_002, 0, 8);
  assert.is(new Set([...clusters, ...other]).size, 32);
});

suite.run();
