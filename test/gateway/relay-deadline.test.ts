import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as verdict from '../../src/verdict';
import * as relayBuilder from './relay-builder';

const suite = uvu.suite('relayed requests whose time runs out');

const DEADLINE = 1_000;

// Guards against a request that is sent to another server within the last millisecond of its time.
suite('a request that waits at a server until its deadline reaches no other one', async () => {
  const relay = new relayBuilder.RelayBuilder();
  relay.task.submit(relay.execution(DEADLINE));
  await relayBuilder.settle();
  for (let steps = 0; steps < 10 * DEADLINE; steps += 1) {
    relay.time.advance(0.1);
    if (relay.time.monotonic() > DEADLINE - 2) {
      await relayBuilder.settle();
    }
    if (relay.time.monotonic() > DEADLINE + 1) {
      break;
    }
  }
  relay.task.close();
  assert.is(relay.requests.length, 1);
  assert.equal(
    relay.failures.map(({ reason }) => reason),
    [verdict.FailureReason.Timeout],
  );
});

suite.run();
