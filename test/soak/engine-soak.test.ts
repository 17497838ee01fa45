import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as soakRun from './soak-run';

const suite = uvu.suite('soak of gateways before engines');

const soak = new soakRun.SoakRun();

suite.before(() => soak.prepare());
suite.after(() => soak.close());

// Guards against requests without a cache namespace, and parts of other teams, when engines and gateways fail in series.
[2, 4].forEach((seed) => {
  suite(`no promise to callers is broken with seed ${seed}`, async () => {
    const report = await soak.playEngines(seed, SECONDS);
    const details = [...report.traces, ...report.faults].join('\n');
    assert.equal(report.violations, [], details);
    assert.ok((report.answers.get(200) ?? 0) > 0, 'no request was served');
    assert.ok(report.cachedRuns > 0, 'no request used cached parts');
  });
});

suite.run();

const SECONDS = 15;
