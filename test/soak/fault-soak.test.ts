import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as soakRun from './soak-run';

const suite = uvu.suite('soak of control daemons and gateways');

const soak = new soakRun.SoakRun();

suite.before(() => soak.prepare());
suite.after(() => soak.close());

// Guards against faults that only show when standstills, kills, restarts and replacements overlap in series.
[1, 2].forEach((seed) => {
  suite(`no promise is broken with seed ${seed}`, async () => {
    const report = await soak.play(seed, SECONDS);
    assert.equal(report.violations, [], report.faults.join('; '));
    assert.ok((report.answers.get(200) ?? 0) > 0, 'no request was served');
    assert.ok(report.acknowledgedRoutes > 0, 'no route was acknowledged');
  });
});

suite.run();

const SECONDS = 30;
