import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as hangingServer from './hanging-server';
import * as relayBuilder from './relay-builder';

const suite = uvu.suite('offers of streams that wait for a reservation');

const DEADLINE = 1_000;

async function offer(relay: relayBuilder.RelayBuilder, beforeAnswer: () => void): Promise<void> {
  const execution = relay.execution(DEADLINE, { lastEventId: 3 });
  execution.dispatch({
    kind: decision.DecisionEffectKind.Dispatch,
    requestId: 'a',
    attemptId: 'a/0',
    serverId: 'runner-1',
    resumeFrom: 3,
    hedge: false,
    offer: true,
    queuedMilliseconds: 0,
    expectedCachedTokens: 0,
  });
  beforeAnswer();
  await relayBuilder.settle();
  execution.cancel();
  relay.task.close();
}

// Guards against a stream that is sent, with nothing known of the server, to one that has begun to leave or died meanwhile.
suite('an offer is not sent to a server that is not eligible any more', async () => {
  const relay = new relayBuilder.RelayBuilder();
  await offer(relay, () => {
    relay.servers = [];
  });
  assert.equal(relay.requests, []);
  assert.equal(relay.released, [hangingServer.RESERVATION]);
});

// Guards against offers that use up a retry, or count as run, although nothing was sent.
suite('an offer that is not sent costs no retry', async () => {
  const relay = new relayBuilder.RelayBuilder();
  const events: decision.DecisionEvent[] = [];
  relay.task.feed = (event) => events.push(event);
  await offer(relay, () => {
    relay.servers = [];
  });
  const { AttemptFailed } = decision.DecisionEventKind;
  const failed = events.filter(
    (event): event is decision.AttemptFailed => event.kind === AttemptFailed,
  );
  assert.equal(
    failed.map(({ failure, isUnsent }) => [failure.verdict, isUnsent]),
    [[verdict.Verdict.NotRun, true]],
  );
});

// Guards against offers that are never sent.
suite('an offer is sent once the server has reserved room', async () => {
  const relay = new relayBuilder.RelayBuilder();
  await offer(relay, () => {});
  assert.is(relay.requests.length, 1);
  assert.equal(relay.released, []);
});

suite.run();
