import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as configuration from '../../src/configuration';
import * as control from '../../src/control';
import * as routing from '../../src/routing';
import * as verdict from '../../src/verdict';
import * as routingBuilder from '../support/routing-builder';

const suite = uvu.suite('claims');
const { FailureReason, Verdict } = verdict;

const { UuidVersion7 } = configuration.KeyFormat;
const KEY = '0190163d-8694-739b-aea5-966c26f8ad91';
const CHARGES = '/ledger/charges';
const LOST = verdict.failure(FailureReason.ConnectionLost, Verdict.MayHaveRun, 'Lost.');
const REFUSED = verdict.failure(FailureReason.ConnectFailed, Verdict.NotRun, 'Refused.');

function executions(builder: routingBuilder.RoutingBuilder): number {
  return builder.services.get('ledger-1')!.requests.length;
}

suite('a resent charge gets the recorded answer and does not run again', async () => {
  const builder = new routingBuilder.RoutingBuilder().service('ledger-1');
  await builder.run(async (router) => {
    const first = (await builder.call(router, 'POST', CHARGES, KEY)).unwrap();
    const second = (await builder.call(router, 'POST', CHARGES, KEY)).unwrap();
    assert.equal(Buffer.from(second.body).toString(), Buffer.from(first.body).toString());
    assert.equal([first.isReplay, second.isReplay], [false, true]);
    assert.is(executions(builder), 1);
    assert.ok(builder.services.get('ledger-1')!.requests[0].freshConnection);
  });
});

suite('a resend that spells the same UUID in upper case does not run again', async () => {
  const builder = new routingBuilder.RoutingBuilder().service('ledger-1');
  await builder.run(async (router) => {
    const first = (await builder.call(router, 'POST', CHARGES, KEY)).unwrap();
    const second = (await builder.call(router, 'POST', CHARGES, KEY.toUpperCase())).unwrap();
    assert.equal([first.isReplay, second.isReplay], [false, true]);
    assert.is(executions(builder), 1);
  });
});

suite('a charge whose connection broke is not sent again, not even for a resend', async () => {
  const builder = new routingBuilder.RoutingBuilder().service('ledger-1', LOST);
  await builder.run(async (router) => {
    const first = await builder.call(router, 'POST', CHARGES, KEY);
    const second = await builder.call(router, 'POST', CHARGES, KEY);
    assert.is((first.val as verdict.RequestFailure).verdict, Verdict.MayHaveRun);
    assert.is((second.val as verdict.RequestFailure).reason, FailureReason.KeyInUse);
    assert.is((second.val as verdict.RequestFailure).verdict, Verdict.MayHaveRun);
    assert.is(executions(builder), 1);
  });
});

suite('a charge that certainly did not run releases its key', async () => {
  const failures = Array.from({ length: 40 }, () => REFUSED);
  const builder = new routingBuilder.RoutingBuilder().service('ledger-1', ...failures);
  await builder.run(async (router) => {
    const first = await builder.call(router, 'POST', CHARGES, KEY);
    assert.is((first.val as verdict.RequestFailure).verdict, Verdict.NotRun);
    builder.services.get('ledger-1')!.failures.length = 0;
    assert.ok((await builder.call(router, 'POST', CHARGES, KEY)).ok);
  });
});

suite('without a majority a charge is refused as not run, and nothing is sent', async () => {
  const builder = new routingBuilder.RoutingBuilder().service('ledger-1');
  builder.plane.isCutOff = true;
  await builder.run(async (router) => {
    const refused = await builder.call(router, 'POST', CHARGES, KEY);
    assert.is((refused.val as verdict.RequestFailure).reason, FailureReason.NoMajority);
    assert.is((refused.val as verdict.RequestFailure).verdict, Verdict.NotRun);
    assert.is(executions(builder), 0);
    assert.ok((await builder.call(router, 'GET', '/ledger/balance')).ok);
  });
});

suite('a claim that was committed although its result was lost is abandoned later', async () => {
  const builder = new routingBuilder.RoutingBuilder().service('ledger-1');
  builder.plane.losesResults = true;
  await builder.run(async (router) => {
    const refused = await builder.call(router, 'POST', CHARGES, KEY);
    assert.is((refused.val as verdict.RequestFailure).verdict, Verdict.NotRun);
    builder.plane.losesResults = false;
    while (builder.commitQueue.length > 0) {
      await builder.time.sleep(10);
    }
    assert.ok((await builder.call(router, 'POST', CHARGES, KEY)).ok);
    assert.is(executions(builder), 1);
  });
});

suite(
  'a key of another request, format or a missing key is refused before anything is sent',
  async () => {
    const builder = new routingBuilder.RoutingBuilder().service('ledger-1');
    await builder.run(async (router) => {
      await builder.call(router, 'POST', CHARGES, KEY);
      const reused = await builder.call(router, 'POST', CHARGES, KEY, 'another deposit');
      const malformed = await builder.call(router, 'POST', CHARGES, KEY.replace('-7', '-4'));
      const missing = await builder.call(router, 'POST', CHARGES);
      const reasons = [reused, malformed, missing].map(
        (result) => (result.val as verdict.RequestFailure).reason,
      );
      const { KeyReused, KeyInvalid } = FailureReason;
      assert.equal(reasons, [KeyReused, KeyInvalid, KeyInvalid]);
      assert.is(executions(builder), 1);
    });
  },
);

suite('a request without a key is sent once only, where the route allows it', async () => {
  const builder = new routingBuilder.RoutingBuilder().service('ledger-1', LOST);
  await builder.run(async (router) => {
    const lost = await builder.call(router, 'POST', '/ledger/notes');
    assert.is((lost.val as verdict.RequestFailure).verdict, Verdict.MayHaveRun);
    assert.is(executions(builder), 1);
  });
});

suite('a resend after an answer that is too large to record gets the verdict "ran"', async () => {
  const builder = new routingBuilder.RoutingBuilder();
  const manager = new routing.ClaimManager(builder.plane, builder.commitQueue, builder.time);
  const identity = { team: 'market-roasters', key: KEY, fingerprint: 'f', keyFormat: UuidVersion7 };
  assert.ok((await manager.claim({ ...identity, attemptId: 'one' })).ok);
  const body = Buffer.alloc(control.MAXIMUM_RECORDED_BODY_BYTES + 1);
  await manager.complete({ ...identity, attemptId: 'one' }, { status: 200, headers: {}, body });
  const resent = await manager.claim({ ...identity, attemptId: 'two' });
  assert.is((resent.val as verdict.RequestFailure).verdict, Verdict.Ran);
});

suite.run();
