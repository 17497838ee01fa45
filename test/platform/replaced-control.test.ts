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
    const statuses = await replacedControl.pollUntil(frozen, site.addedPath, 200);
    assert.is(statuses.at(-1), 200, `statuses: ${statuses.join(' ')}`);
  });
});

// Guards against gateways that can ask only each other, after all of them have lost the control daemons.
suite('gateways that stood still together find the control daemons through another', async () => {
  await replacedControl.run(checkout, server, async (site) => {
    const [first, second] = site.gateways;
    [first, second].forEach(({ process }) => process.signal('SIGSTOP'));
    await site.replaceAllControlDaemons();
    await site.addRoute();
    [first, second].forEach(({ process }) => process.signal('SIGCONT'));
    for (const gateway of [first, second]) {
      const statuses = await replacedControl.pollUntil(gateway, site.addedPath, 200);
      assert.is(statuses.at(-1), 200, `statuses: ${statuses.join(' ')}`);
    }
  });
});

// Guards against a control daemon that nobody dials, and that knows only control daemons that are gone.
suite(
  'a control daemon that stood still while all were replaced reads the newest document',
  async () => {
    await replacedControl.run(checkout, server, async (site) => {
      const [frozen] = site.control;
      frozen.process.signal('SIGSTOP');
      await site.replaceFirstWithoutStoppingIt();
      await site.replaceOldestControlDaemon();
      await site.replaceOldestControlDaemon();
      // The seeds of these name the frozen one, so that they would dial it.
      await site.replaceAllControlDaemons();
      await site.addRoute();
      frozen.process.signal('SIGCONT');
      const statuses = await replacedControl.pollUntil(frozen, '/-/config', 200);
      assert.is(statuses.at(-1), 200, `statuses: ${statuses.join(' ')}`);
    });
  },
);

// Guards against a start with settings that name only control daemons that are gone, and that are corrected later.
suite(
  'a gateway reads the seeds of its settings again while it knows no control daemon',
  async () => {
    await replacedControl.run(checkout, server, async (site) => {
      const gone = site.control;
      await site.replaceAllControlDaemons();
      const added = site.startGateway('front-late', gone);
      await replacedControl.pause(WRONG_SEEDS_MILLISECONDS);
      assert.not.ok(added.process.log.some(({ message }) => message === 'ready'));
      site.changeSeeds(added);
      await added.process.waitForLog('ready');
      assert.is((await replacedControl.send(added, '/balance/1')).status, 200);
    });
  },
);

// Guards against "no such route" from a gateway that has not heard of changes for long.
suite('a gateway without any control daemon refuses unknown routes with 503', async () => {
  await replacedControl.run(checkout, server, async (site) => {
    const [gateway] = site.gateways;
    assert.is((await replacedControl.send(gateway, '/unknown/')).status, 404);
    await site.killAllControlDaemons();
    await replacedControl.pause(OUT_OF_TOUCH_MILLISECONDS);
    const unknownRoute = await replacedControl.send(gateway, '/unknown/');
    const unknownKey = await replacedControl.send(gateway, '/balance/1', {
      authorization: 'Token other',
    });
    const known = await replacedControl.send(gateway, '/balance/1');
    assert.equal([unknownRoute.status, unknownKey.status, known.status], [503, 503, 200]);
    assert.ok(Number(unknownRoute.headers['retry-after']) > 0);
  });
});

suite.run();

const WRONG_SEEDS_MILLISECONDS = 1_500;

/** More than the time in which an acknowledged document has to be in force. */
const OUT_OF_TOUCH_MILLISECONDS = 5_000;
