import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as specification from './specification';

const SAMPLES_OF_THE_PROTOCOL = 400;
// The run of a variant ends with the first violation, so a high limit costs time only when none is found.
const SAMPLES_OF_A_VARIANT = 3_000;
const PARALLEL_RUNS = 3;

['replicated-log', 'claims'].forEach((file) => {
  const suite = uvu.suite(`model check of ${file}`);

  suite('the protocol is safe, and each variant without a guard shows a violation', async () => {
    const unexpected: string[] = [];
    await specification.inParallel(specification.modelRuns(file), PARALLEL_RUNS, async (run) => {
      const isVariant = run.expectation === specification.Expectation.Violation;
      const samples = isVariant ? SAMPLES_OF_A_VARIANT : SAMPLES_OF_THE_PROTOCOL;
      const observed = await specification.simulate(run, samples);
      if (observed !== run.expectation) {
        unexpected.push(`${run.module} with ${run.init} and ${run.step}: ${observed}`);
      }
    });
    assert.equal(unexpected, []);
  });

  suite.run();
});
