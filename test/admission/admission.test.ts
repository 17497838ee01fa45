import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as admission from '../../src/admission';

const suite = uvu.suite('admission');
const { Short } = admission.Lane;

const entry = (team: string, share = 1, number = 0): admission.QueueEntry => ({
  requestId: `${team}-${number}`,
  team,
  lane: Short,
  priority: 5,
  costMilliseconds: 1_000,
  share,
});

function fill(teams: readonly [team: string, share: number, count: number][]) {
  return teams
    .flatMap(([team, share, count]) =>
      Array.from({ length: count }, (_, number) => entry(team, share, number)),
    )
    .reduce(admission.push, admission.EMPTY_QUEUE);
}

function dequeueMany(queue: admission.ServiceQueue, count: number): string[] {
  let rest = queue;
  return Array.from({ length: count }, () => {
    const [next] = admission.nextEntries(rest, Short);
    rest = admission.dequeue(rest, next);
    return next.team;
  });
}

suite('the queue serves teams by their shares, however many requests one of them has', () => {
  const served = dequeueMany(
    fill([
      ['big', 3, 400],
      ['small', 1, 40],
    ]),
    80,
  );
  const small = served.filter((team) => team === 'small').length;
  assert.ok(small >= 18 && small <= 30, `${small} of 80`);
});

suite('a small team does not wait for the backlog of a large one', () => {
  const queue = fill([['big', 1, 200]]);
  const small = admission.expectedWait(queue, Short, 'small', 1, 8);
  const big = admission.expectedWait(queue, Short, 'big', 1, 8);
  assert.is(small, 0);
  assert.is(big, 25_000);
});

suite(
  'removing a queued request leaves no backlog for which later requests would be refused',
  () => {
    const queue = admission.remove(
      admission.push(admission.EMPTY_QUEUE, entry('depot')),
      entry('depot'),
    );
    assert.is(admission.expectedWait(queue, Short, 'depot', 1, 1), 0);
    assert.is(admission.isEmpty(queue, Short), true);
  },
);

suite(
  'requests of one team are served by priority, and those of equal priority in their order',
  () => {
    const queue = [
      entry('depot', 1, 0),
      entry('depot', 1, 1),
      { ...entry('depot', 1, 2), priority: 9 },
    ].reduce(admission.push, admission.EMPTY_QUEUE);
    const order = admission.nextEntries(queue, Short).map(({ requestId }) => requestId);
    assert.equal(order, ['depot-2', 'depot-0', 'depot-1']);
  },
);

suite('a budget allows no more attempts than its fraction of the requests', () => {
  let budget = admission.HEDGE_BUDGET;
  let spent = 0;
  for (let request = 0; request < 1_000; request += 1) {
    budget = admission.earn(budget);
    if (admission.hasCredit(budget)) {
      budget = admission.spend(budget);
      spent += 1;
    }
  }
  assert.ok(spent > 40 && spent < 50, `${spent} hedges`);
});

suite('long requests leave slots free for short ones on servers of any size', () => {
  assert.equal([1, 2, 8, 64].map(admission.longSlots), [1, 1, 5, 40]);
});

suite.run();
