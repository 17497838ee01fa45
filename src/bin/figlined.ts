#!/usr/bin/env node
/** The daemon: one process on each entry VM. */
import * as daemonPackage from '../daemon';
import * as logging from '../logging';
import * as settings from '../settings';

const EXIT_FAILED = 1;
const EXIT_WRONG_SETTINGS = 2;

const logger = new logging.Logger('daemon');

async function main(): Promise<void> {
  const commandArguments = process.argv.slice(2);
  if (settings.isHelpRequested(commandArguments)) {
    process.stdout.write(settings.helpText());
    return;
  }
  const loaded = settings.load(commandArguments, process.env);
  if (loaded.err) {
    process.stderr.write(settings.formatFaults(loaded.val));
    process.exitCode = EXIT_WRONG_SETTINGS;
    return;
  }
  logging.enable(loaded.val.logLevel);
  await run(loaded.val);
}

async function run(loaded: settings.Settings): Promise<void> {
  const daemon = await daemonPackage.startDaemon(loaded);
  const { callerPort, operatorPort } = daemon;
  // Prints the ports, which the operating system chooses when a setting has port 0.
  process.stdout.write(`${JSON.stringify({ callerPort, operatorPort, pid: process.pid })}\n`);
  const stop = async (): Promise<void> => {
    await daemon.stop();
    process.exit(0);
  };
  // A second signal must not end the process, which is the default without a listener.
  process.on('SIGTERM', stop);
  process.once('SIGINT', stop);
}

process.on('unhandledRejection', (reason) => {
  logger.error('unhandled rejection', { reason: String(reason) });
});

main().catch((error: Error) => {
  process.stderr.write(`figlined: ${error.message}\n`);
  process.exit(EXIT_FAILED);
});
