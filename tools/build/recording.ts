import * as path from 'node:path';
import * as deployFile from '../local/deploy-file';
import * as platformProcess from '../local/platform-process';
import * as surroundingsModule from '../local/surroundings';

/** Files of the build that a recording reads and writes. */
export interface RecordedFiles {
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
export async function recordCompiledCode(files: RecordedFiles): Promise<void> {
  const surroundings = new surroundingsModule.Surroundings();
  await surroundings.start();
  const started: platformProcess.PlatformProcess[] = [];
  const start = (role: deployFile.Role, node: surroundingsModule.PlatformNode) => {
    const command = recordingCommand(deployFile.commandOf(role), files);
    const process = platformProcess.PlatformProcess.start(command, '.', node.settingsFile);
    started.push(process);
    return process;
  };
  const stopAll = () => Promise.all(started.map((process) => process.stop('SIGKILL')));
  const timer = setTimeout(stopAll, RECORDING_MILLISECONDS);
  try {
    const node = surroundings.controlDaemon('core-1');
    const control = start(deployFile.Role.Control, node);
    await control.logged('started');
    await surroundingsModule.putRouting(node, ROUTING);
    const gateway = start(deployFile.Role.Gateway, surroundings.gateway('front-1'));
    await gateway.logged('ready');
    await Promise.all(
      started.map(async (process) => {
        process.signal('SIGUSR2');
        await process.logged('compiled code written');
      }),
    );
  } finally {
    clearTimeout(timer);
    await stopAll();
    await surroundings.stop();
  }
}

/** A recording takes 4 s on an idle machine; the platform gives a build 15 minutes. */
const RECORDING_MILLISECONDS = 120_000;

const ROUTING = { version: 1, routes: [], services: [] };

/** `node FLAGS main.js NAME` becomes `node FLAGS record.js program.js NAME.cache`. */
function recordingCommand(command: string, { recorder, program, folder }: RecordedFiles): string {
  const words = command.split(' ');
  const [name] = words.slice(-1);
  const flags = words.slice(0, -2);
  return [...flags, recorder, program, path.join(folder, `${name}.cache`)].join(' ');
}
