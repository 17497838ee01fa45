import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as fakeBackendServer from './fake-backend-server';
import * as builder from './gateway-builder';

const suite = uvu.suite('streams whose events have no numbers');

/** A stream of two events without ids; the connection breaks after the first one if `isCut` is set. */
function unnumbered(isCut: boolean): fakeBackendServer.ServerBehaviour {
  return (request, response) => {
    const headers = fakeBackendServer.sealed(request);
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
    response.write('data: piece 1\n\n', () => {
      if (isCut) {
        response.destroy();
      } else {
        response.end('data: piece 2\n\n');
      }
    });
  };
}

// Guards against a stream that another server begins anew, after the caller has received a part of it.
suite('a broken stream without event ids is not continued at another server', async () => {
  const behaviours = [unnumbered(true), unnumbered(false)];
  const servers = ['i-1', 'i-2'].map(
    (id) => new fakeBackendServer.FakeBackendServer(id, behaviours),
  );
  await new builder.GatewayBuilder(servers).run(async (gateway) => {
    const answer = await gateway.send('POST', '/reply/7');
    assert.is(answer.text, 'data: piece 1\n\n');
    assert.not(answer.isComplete);
    assert.is(servers.flatMap(({ requests }) => requests).length, 1);
  });
});

suite.run();
