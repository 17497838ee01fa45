#!/usr/bin/env node
/** Entry point of the command-line tool. */
import * as clock from '../clock';
import * as command from '../command';

async function main(): Promise<void> {
  process.exitCode = await command.run(process.argv.slice(2), {
    environment: process.env,
    time: new clock.SystemClock(),
    writeOutput: (text) => process.stdout.write(text),
    writeError: (text) => process.stderr.write(text),
  });
}

main();
