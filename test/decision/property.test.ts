import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as fastCheck from 'fast-check';
import * as decision from '../../src/decision';
import * as randomAdapter from './random-adapter';

const suite = uvu.suite('decision properties');

/** One step of a random history; the numbers select among the possible requests, attempts and servers. */
const action = fastCheck.record({
  kind: fastCheck.constantFrom(...randomAdapter.ACTIONS),
  pick: fastCheck.nat(1_000),
  detail: fastCheck.nat(1_000),
});

const histories = fastCheck.array(action, { minLength: 20, maxLength: 120, size: 'max' });

function check(property: (adapter: randomAdapter.RandomAdapter) => void): void {
  fastCheck.assert(
    fastCheck.property(histories, (history) => {
      const adapter = new randomAdapter.RandomAdapter();
      history.forEach((step) => adapter.act(step));
      property(adapter);
    }),
    { seed: 20_261_204, numRuns: 400 },
  );
}

suite('no non-idempotent request is sent again once an attempt may have run', () =>
  check((adapter) => assert.equal(adapter.repeatedRuns, [])),
);

suite('every request ends exactly once, however its attempts end', () =>
  check((adapter) => {
    adapter.drain();
    assert.equal(adapter.endedTwice, []);
    assert.equal(adapter.open(), []);
    assert.is(adapter.driver.state.requests.size, 0);
  }),
);

suite('"not run" is never claimed for a request of which an attempt may have run', () =>
  check((adapter) => assert.equal(adapter.falseNotRun, [])),
);

suite(
  'requests go only to eligible servers with a free slot, and long requests leave slots free',
  () =>
    check((adapter) => {
      assert.equal(adapter.ineligible, []);
      assert.equal(adapter.overfull, []);
    }),
);

suite(
  'a fingerprint in flight at two crashes, with no run that went on between them, or at four is never dispatched again',
  () => check((adapter) => assert.equal(adapter.quarantineViolations, [])),
);

suite(
  'a daemon counts its running requests exactly, else slots leak until it stops dispatching',
  () =>
    check((adapter) => {
      adapter.driver.state.servers.forEach((server, id) =>
        assert.is(server.load.own.requests, adapter.running(id)),
      );
      adapter.drain();
      adapter.driver.state.servers.forEach((server) => {
        assert.is(server.load.own.requests, 0);
        assert.is(server.load.ownLongRequests, 0);
        assert.is(server.suspectAttempts, 0);
      });
    }),
);

suite('the same events give the same effects, so that a benchmark can be repeated', () =>
  fastCheck.assert(
    fastCheck.property(histories, (history) => {
      const run = () => {
        const adapter = new randomAdapter.RandomAdapter();
        history.forEach((step) => adapter.act(step));
        return JSON.stringify(adapter.effects);
      };
      assert.is(run(), run());
    }),
    { seed: 3, numRuns: 30 },
  ),
);

suite('an event about an ended attempt changes nothing', () => {
  const adapter = new randomAdapter.RandomAdapter();
  adapter.act({ kind: randomAdapter.ActionKind.Arrive, pick: 0, detail: 1 });
  const [first] = adapter.effects.filter(
    (effect): effect is decision.Dispatch => effect.kind === decision.DecisionEffectKind.Dispatch,
  );
  const { state } = adapter.driver.finish(first);
  adapter.driver.receivePiece(first, 4).finish(first);
  assert.is(adapter.driver.state, state);
});

suite.run();
