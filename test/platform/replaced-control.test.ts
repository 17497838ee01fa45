import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as builtCheckout from './built-checkout';
import * as fakeBackendServer from './fake-backend-server';
import * as replacedControl from './replaced-control';

const suite = uvu.suite('control daemons that are all replaced');

const checkout = new builtCheckout.BuiltCheckout();
const server = new fakeBackendServer.FakeBackendServer('i-1', [
  (request, response) => {
    response.writeHead(200, fakeBackendServer.sealed(request));
    response.end('7');
  },
]);

suite.before(async () => {
  checkout.build();
  await server.listen();
});

suite.after(async () => {
  await server.close();
  checkout.remove();
});

// Guards against a gateway that knows only addresses of control daemons that are gone, and so keeps its routes for good.
suite('a gateway that stood still meanwhile serves the routes that were added since', async () => {
  await replacedControl.run(checkout, server, async (site) => {
    const [frozen] = site.gateways;
    frozen.process.signal('SIGSTOP');
    await site.replaceAllControlDaemons();
    await site.addRoute();
    frozen.process.signal('SIGCONT');
    const statuses = await site.pollUntil(frozen, site.addedPath, 200);
    assert.is(statuses.at(-1), 200, `statuses: ${statuses.join(' ')}`);
  });
});

// Guards against "no such route" from a gateway that has not heard of changes for long.
suite('a gateway without any control daemon refuses unknown routes with 503', async () => {
  await replacedControl.run(checkout, server, async (site) => {
    const [gateway] = site.gateways;
    assert.is((await site.send(gateway, '/unknown/')).status, 404);
    await site.killAllControlDaemons();
    await replacedControl.pause(OUT_OF_TOUCH_MILLISECONDS);
    const unknownRoute = await site.send(gateway, '/unknown/');
    const unknownKey = await site.send(gateway, '/balance/1', { authorization: 'Token other' });
    const known = await site.send(gateway, '/balance/1');
    assert.equal([unknownRoute.status, unknownKey.status, known.status], [503, 503, 200]);
    assert.ok(Number(unknownRoute.headers['retry-after']) > 0);
  });
});

suite.run();

/** More than the time in which an acknowledged document has to be in force. */
const OUT_OF_TOUCH_MILLISECONDS = 5_000;
