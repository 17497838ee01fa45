/**
 * `npm run model-check`: samples more traces than the tests do and prints a line a run. Takes the number of
 * samples of the protocol as its argument.
 */
import * as specification from './specification';

const DEFAULT_SAMPLES = 4_000;
const PARALLEL_RUNS = 4;

async function main(): Promise<void> {
  const samples = Number(process.argv[2] ?? DEFAULT_SAMPLES);
  const runs = ['replicated-log', 'claims'].flatMap(specification.modelRuns);
  let failed = 0;
  await specification.inParallel(runs, PARALLEL_RUNS, async (run) => {
    const seen = await specification.simulate(run, samples);
    const verdict = seen === run.expectation ? 'as expected' : 'UNEXPECTED';
    failed += seen === run.expectation ? 0 : 1;
    process.stdout.write(
      `${run.file} ${run.module} (${run.init}, ${run.step}): ${seen}, ${verdict}\n`,
    );
  });
  process.stdout.write(`${runs.length - failed} passed, ${failed} failed\n`);
  process.exitCode = failed === 0 ? 0 : 1;
}

main();
