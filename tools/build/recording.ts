import * as path from 'node:path';
import * as deployFile from '../local/deploy-file';
import * as platformProcess from '../local/platform-process';
import * as loopbackEnvironment from '../local/loopback-environment';

/** Files of the build that a recording reads and writes. */
export interface RecordingFiles {
  /** The program that runs while its compiled code is recorded. */
  readonly recorder: string;
  readonly program: string;
  /** Folder for the compiled code, with one file for each process name in the deploy file. */
  readonly folder: string;
}

/**
 * Starts a control daemon and a gateway on loopback with the flags of the deploy file, and stores the code that V8 has
 * compiled by the time the gateway is ready. Rejects if a process ends before that, or if the time limit is reached.
 */
export async function recordCompiledCode(files: RecordingFiles): Promise<void> {
  const environment = new loopbackEnvironment.LoopbackEnvironment();
  await environment.start();
  const processes: platformProcess.PlatformProcess[] = [];
  const start = (role: deployFile.Role, node: loopbackEnvironment.PlatformNode) => {
    const command = recordingCommand(deployFile.commandOf(role), files);
    const process = platformProcess.PlatformProcess.start(command, '.', node.settingsFile);
    processes.push(process);
    return process;
  };
  const stopAll = () => Promise.all(processes.map((process) => process.stop('SIGKILL')));
  const timer = setTimeout(stopAll, RECORDING_TIMEOUT_MILLISECONDS);
  try {
    const node = environment.controlDaemon('core-1');
    const control = start(deployFile.Role.Control, node);
    await control.waitForLog('started');
    await loopbackEnvironment.putRouting(node, ROUTING);
    const gateway = start(deployFile.Role.Gateway, environment.gateway('front-1'));
    await gateway.waitForLog('ready');
    await Promise.all(
      processes.map(async (process) => {
        process.signal('SIGUSR2');
        await process.waitForLog('compiled code written');
      }),
    );
  } finally {
    clearTimeout(timer);
    await stopAll();
    await environment.stop();
  }
}

/** A recording takes 4 s on an idle machine; the platform gives a build 15 minutes. */
const RECORDING_TIMEOUT_MILLISECONDS = 120_000;

const ROUTING = { version: 1, routes: [], services: [] };

/** `node FLAGS main.js NAME` becomes `node FLAGS record.js program.js NAME.cache`. */
function recordingCommand(command: string, { recorder, program, folder }: RecordingFiles): string {
  const commandWords = command.split(' ');
  const [name] = commandWords.slice(-1);
  const flags = commandWords.slice(0, -2);
  return [...flags, recorder, program, path.join(folder, `${name}.cache`)].join(' ');
}
