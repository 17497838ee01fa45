import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as health from '../../src/health';

const suite = uvu.suite('evidence of crashes');

const { None, Suspected, Refused } = health.CrashSuspicion;

/** Evidence of one crash each second, each with the given causes. */
function crashesOf(...causes: readonly (readonly string[])[]): health.CrashEvidence {
  return causes
    .map((names, index) => ({ serverId: `engine-${index}`, at: index * 1_000, causes: names }))
    .reduce(health.addCrash, health.EMPTY_CRASH_EVIDENCE);
}

const LATER = 60_000;

// Guards against requests with a part that are each taken for the first of their kind.
suite('a part in flight at three crashes is refused whatever else the request contains', () => {
  const evidence = crashesOf(['harmful', 'a'], ['harmful', 'b'], ['harmful', 'c']);
  assert.is(health.suspicionOf(evidence, ['harmful', 'new'], LATER), Refused);
  assert.is(health.suspicionOf(evidence, ['a', 'new'], LATER), None);
});

// Guards against a refusal before daemons that know better have been heard.
suite('a part is refused only when reports of safe begins have had time to arrive', () => {
  const evidence = crashesOf(['harmful'], ['harmful'], ['harmful']);
  assert.is(health.suspicionOf(evidence, ['harmful'], 2_100), Suspected);
  assert.is(health.suspicionOf(evidence, ['harmful'], 3_100), Refused);
});

// Guards against the refusal of a preamble that nearly all requests contain.
suite('a part that began safely after a crash is not suspected of it', () => {
  const evidence = crashesOf(['harmful', 'preamble'], ['harmful', 'preamble'], ['harmful']);
  const cleared = health.addSafeBegin(evidence, { cause: 'preamble', at: 1_500 });
  assert.is(health.suspicionOf(cleared, ['preamble'], LATER), None);
  const late = { serverId: 'engine-1', at: 1_000, causes: ['preamble'] };
  assert.is(health.crashCount(health.addCrash(cleared, late), 'preamble'), 0);
});

// Guards against the refusal of sound requests that share a part with all those that crash engines.
suite('a request with only some of the parts that explain the same crashes may run', () => {
  const both = ['harmful', 'companion'];
  const evidence = crashesOf(both, both, both);
  assert.is(health.suspicionOf(evidence, both, LATER), Refused);
  assert.is(health.suspicionOf(evidence, ['companion'], LATER), Suspected);
});

// Guards against a refusal for being beside the harmful part several times by chance.
suite('a part whose crashes are all explained by a part with more crashes is not refused', () => {
  const both = ['harmful', 'neighbour'];
  const evidence = crashesOf(both, both, both, ['harmful']);
  assert.is(health.suspicionOf(evidence, ['neighbour'], LATER), Suspected);
  assert.is(health.suspicionOf(evidence, ['harmful'], LATER), Refused);
});

// Guards against one crash that several daemons detect at different times and that then counts several times.
suite('reports about one server within a short time are about one crash', () => {
  const reports = [0, 300, 900].map((at) => ({ serverId: 'engine-0', at, causes: ['part'] }));
  const evidence = reports.reduce(health.addCrash, health.EMPTY_CRASH_EVIDENCE);
  assert.is(health.crashCount(evidence, 'part'), 1);
});

// Guards against evidence that grows without a limit, and against one that is lost while it is needed.
suite(
  'a single crash is forgotten after a minute and the evidence against a refused part is kept',
  () => {
    const evidence = crashesOf(['harmful', 'once'], ['harmful'], ['harmful']);
    const pruned = health.pruneCrashEvidence(evidence, 120_000);
    assert.is(health.crashCount(pruned, 'once'), 0);
    assert.is(health.suspicionOf(pruned, ['harmful'], 120_000), Refused);
  },
);

// Guards against a list of every part of every request of the last minute.
suite('safe begins are kept as long as crashes before them are still reported', () => {
  const begun = health.addSafeBegin(health.EMPTY_CRASH_EVIDENCE, { cause: 'sound', at: 1_000 });
  const late = { serverId: 'engine-0', at: 500, causes: ['sound'] };
  const reported = (at: number) => health.addCrash(health.pruneCrashEvidence(begun, at), late);
  assert.is(health.crashCount(reported(11_000), 'sound'), 0);
  assert.is(health.pruneCrashEvidence(begun, 31_000).safeBegins.size, 0);
});

suite.run();
