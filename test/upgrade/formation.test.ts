import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import type * as replica from '../../src/replica';
import * as firstStart from '../replica/first-start';
import * as buildModule from './build';

const suite = uvu.suite('formation of a group by replicas of two builds');

const production = buildModule.Build.production();
const current = buildModule.Build.current();

suite.after(() => {
  production.remove();
  current.remove();
});

const HISTORIES = 200;

/** The builds of the three replicas, by position of their addresses. */
const MIXTURES = [
  [production, current, current],
  [current, production, production],
  [current, current, production],
];

/** Runs each replica on its build. */
function updateOf(builds: readonly buildModule.Build[]): typeof replica.update {
  const updates = builds.map((build) => build.load<typeof replica>('src/replica').update);
  return (state, event) => updates[state.replicas.indexOf(state.self.address)](state, event);
}

function play(update: typeof replica.update, change: (history: firstStart.History) => object) {
  return Array.from({ length: HISTORIES }, (_, index) => {
    const history = firstStart.historyOf(new clock.SeededRandomSource(index + 1));
    return firstStart.play({ ...history, ...change(history) }, update);
  });
}

MIXTURES.forEach((builds) => {
  const names = builds.map(({ name }) => name).join(', ');

  // Guards against two groups that replicas of two builds form by different rules.
  suite(`${names}: kills in the first start never lead to two groups or lost entries`, () => {
    const faults = play(updateOf(builds), () => ({}));
    // A replica of the build before takes one that has voted for one in a group, so that it forms none.
    const wrong = faults.filter(
      (fault) => fault !== undefined && fault !== firstStart.Fault.NoGroup,
    );
    assert.equal(wrong, []);
  });

  // Guards against replicas of two builds that wait for each other.
  suite(`${names}: without kills and lost messages there is a group`, () => {
    const faults = play(updateOf(builds), () => ({
      kills: [],
      lossRate: 0,
      maximumDelayMilliseconds: 40,
    }));
    assert.equal(
      faults.filter((fault) => fault !== undefined),
      [],
    );
  });
});

suite.run();
