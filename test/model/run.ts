/**
 * `npm run model-check`: samples more traces than the tests do and prints a line per run. The argument is the
 * number of samples of the protocol.
 */
import * as specification from './specification';

const DEFAULT_SAMPLES = 4_000;
const PARALLEL_RUNS = 4;

async function main(): Promise<void> {
  const samples = Number(process.argv[2] ?? DEFAULT_SAMPLES);
  const runs = ['replicated-log', 'claims'].flatMap(specification.modelRuns);
  let failed = 0;
  await specification.inParallel(runs, PARALLEL_RUNS, async (run) => {
    const observed = await specification.simulate(run, samples);
    const verdict = observed === run.expectation ? 'as expected' : 'UNEXPECTED';
    failed += observed === run.expectation ? 0 : 1;
    process.stdout.write(
      `${run.file} ${run.module} (${run.init}, ${run.step}): ${observed}, ${verdict}\n`,
    );
  });
  process.stdout.write(`${runs.length - failed} passed, ${failed} failed\n`);
  process.exitCode = failed === 0 ? 0 : 1;
}

main();
