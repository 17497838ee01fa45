/** `npm run load -- --target http://127.0.0.1:8080 --rate 50 --seconds 10 [--json]`. */
import * as loadSummary from './load-summary';
import * as options from './options';
import * as runLoad from './run-load';

const EXIT_USAGE = 2;

async function main(): Promise<void> {
  const flags = options.readOptions(process.argv.slice(2));
  if (flags.err) {
    flags.val.forEach((problem) => process.stderr.write(`load: ${problem}\n`));
    process.exitCode = EXIT_USAGE;
    return;
  }
  if (flags.val === undefined) {
    return;
  }
  const summary = await runLoad.runLoad(options.toLoadOptions(flags.val));
  process.stdout.write(
    flags.val.json ? `${JSON.stringify(summary)}\n` : loadSummary.formatSummary(summary),
  );
  process.exitCode = summary.succeeded === 0 ? 1 : 0;
}

main();
