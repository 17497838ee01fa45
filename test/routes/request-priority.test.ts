import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as admission from '../../src/admission';
import * as routes from '../../src/routes';

const suite = uvu.suite('priority of requests');

const entry = (requestId: string, priority: number): admission.QueueEntry => ({
  requestId,
  team: 'depot',
  lane: admission.Lane.Short,
  priority,
  costMilliseconds: 100,
  share: 1,
});

// Load pattern: requests of two routes of one team wait for busy servers. Guards against the less urgent ones leaving the queue first.
suite('the request of the more urgent route leaves the queue first', () => {
  const queue = [
    entry('lookup', routes.priorityOf({ priority: 2 })),
    entry('draft', routes.priorityOf({ priority: 0 })),
    entry('assessment', routes.priorityOf({ priority: 1 })),
  ].reduce(admission.push, admission.EMPTY_QUEUE);
  const order = admission
    .nextEntries(queue, admission.Lane.Short)
    .map(({ requestId }) => requestId);
  assert.equal(order, ['draft', 'assessment', 'lookup']);
});

suite('the rank of a team takes precedence over that of the route', () => {
  const urgent = routes.priorityOf({ priority: 2 }, { priority: 0 });
  assert.ok(urgent > routes.priorityOf({ priority: 1 }, {}));
});

// Guards against another rank at the engine than in the routing document.
suite('a rank is the same after both conversions', () => {
  [0, 1, 9].forEach((priority) => {
    assert.is(routes.rankOf(routes.priorityOf({ priority })), priority);
  });
});

suite.run();
