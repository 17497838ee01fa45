import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as fastCheck from 'fast-check';
import * as decision from '../../src/decision';
import * as observer from './observer';

const suite = uvu.suite('decision properties');

/** One step of a random history; the numbers select among what is possible at that point. */
const action = fastCheck.record({
  kind: fastCheck.constantFrom(...observer.ACTIONS),
  pick: fastCheck.nat(1_000),
  detail: fastCheck.nat(1_000),
});

const histories = fastCheck.array(action, { minLength: 20, maxLength: 120, size: 'max' });

function check(property: (watched: observer.RandomAdapter) => void): void {
  fastCheck.assert(
    fastCheck.property(histories, (history) => {
      const watched = new observer.RandomAdapter();
      history.forEach((step) => watched.act(step));
      property(watched);
    }),
    { seed: 20_261_204, numRuns: 400 },
  );
}

suite('no non-idempotent request is sent again once an attempt may have run', () =>
  check((watched) => assert.equal(watched.repeatedRuns, [])),
);

suite('every request ends exactly once, however its attempts end', () =>
  check((watched) => {
    watched.drain();
    assert.equal(watched.endedTwice, []);
    assert.equal(watched.open(), []);
    assert.is(watched.driver.state.requests.size, 0);
  }),
);

suite('"not run" is never claimed for a request of which an attempt may have run', () =>
  check((watched) => assert.equal(watched.falseNotRun, [])),
);

suite('work goes only to eligible servers with a free slot, and long work leaves slots free', () =>
  check((watched) => {
    assert.equal(watched.ineligible, []);
    assert.equal(watched.overfull, []);
  }),
);

suite(
  'a fingerprint in flight at two crashes, with no full run between them, is never dispatched again',
  () => check((watched) => assert.equal(watched.quarantineViolations, [])),
);

suite('own work is counted exactly, else slots leak until the daemon stops dispatching', () =>
  check((watched) => {
    watched.driver.state.servers.forEach((server, id) =>
      assert.is(server.load.own.requests, watched.running(id)),
    );
    watched.drain();
    watched.driver.state.servers.forEach((server) => {
      assert.is(server.load.own.requests, 0);
      assert.is(server.load.ownLongRequests, 0);
      assert.is(server.suspects, 0);
    });
  }),
);

suite('the same events give the same effects, so that a benchmark can be repeated', () =>
  fastCheck.assert(
    fastCheck.property(histories, (history) => {
      const run = () => {
        const watched = new observer.RandomAdapter();
        history.forEach((step) => watched.act(step));
        return JSON.stringify(watched.effects);
      };
      assert.is(run(), run());
    }),
    { seed: 3, numRuns: 30 },
  ),
);

suite('an event about an attempt that is over changes nothing', () => {
  const watched = new observer.RandomAdapter();
  watched.act({ kind: observer.ActionKind.Arrive, pick: 0, detail: 1 });
  const [first] = watched.effects.filter(
    (effect): effect is decision.Dispatch => effect.kind === decision.DecisionEffectKind.Dispatch,
  );
  const { state } = watched.driver.finish(first);
  watched.driver.receivePiece(first, 4).finish(first);
  assert.is(watched.driver.state, state);
});

suite.run();
