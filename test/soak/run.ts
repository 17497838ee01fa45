/** `npm run soak -- FIRST_SEED COUNT SECONDS`: plays soaks with consecutive seeds and prints what was broken. */
import * as soakRun from './soak-run';

async function main([first = 1, count = 1, seconds = 40]: readonly number[]): Promise<void> {
  const soak = new soakRun.SoakRun();
  soak.prepare();
  let broken = 0;
  try {
    for (let seed = first; seed < first + count; seed += 1) {
      const { violations, answers, faults, acknowledgedRoutes } = await soak.play(seed, seconds);
      broken += violations.length > 0 ? 1 : 0;
      const statuses = [...answers].sort().map(([status, number]) => `${status}: ${number}`);
      process.stdout.write(
        `seed ${seed}: ${violations.length} broken, ${faults.length} faults, ${acknowledgedRoutes} routes; ${statuses.join(', ')}\n`,
      );
      if (violations.length > 0) {
        process.stdout.write(`  ${[...violations.slice(0, 5), ...faults].join('\n  ')}\n`);
      }
    }
  } finally {
    soak.close();
  }
  process.stdout.write(`${broken} of ${count} seeds broke a promise\n`);
  process.exitCode = broken === 0 ? 0 : 1;
}

main(process.argv.slice(2).map(Number));
