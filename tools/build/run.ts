/** Builds the platform's program from compiled modules: `node target/build/run.js`, in the root. */
import * as path from 'node:path';
import * as bundler from './bundle';
import * as recording from './recording';

const MODULES = path.join('target', 'modules');
const RECORDER = path.join('target', 'build', 'record.js');
const FOLDER = path.join('target', 'platform');
const PROGRAM = path.join(FOLDER, 'program.js');

async function main(): Promise<void> {
  bundler.describeModules(MODULES);
  await bundler.bundleProgram(path.join(MODULES, 'platform', 'program.js'), PROGRAM);
  await bundler.bundle(path.join(MODULES, 'platform', 'main.js'), path.join(FOLDER, 'main.js'));
  await bundler.bundle(path.join('tools', 'build', 'record.ts'), RECORDER);
  try {
    await recording.recordCompiledCode({ recorder: RECORDER, program: PROGRAM, folder: FOLDER });
  } catch (error) {
    // Without compiled code the program starts more slowly and logs a warning.
    process.stderr.write(
      `build: no code cache was written, so processes will compile at start: ${(error as Error).message}\n`,
    );
  }
}

main().then(
  () => process.exit(0),
  (error) => {
    process.stderr.write(`build: ${error.stack}\n`);
    process.exit(1);
  },
);
