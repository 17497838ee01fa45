/**
 * `node record.js PROGRAM CACHE`: runs the program without compiled code and, on each SIGUSR2, writes the code compiled
 * so far to the file CACHE. The flags for node must be those of the later starts.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as codeCache from '../../platform/code-cache';
import * as programLoader from '../../platform/program-loader';

const STANDARD_OUTPUT_DESCRIPTOR = 1;

const [program, cacheFile] = process.argv.slice(2).map((file) => path.resolve(file));
const loadedProgram = programLoader.load(program);

process.on('SIGUSR2', () => {
  // V8 does not detect damaged code, so that no process may ever read a partial file.
  fs.writeFileSync(`${cacheFile}.part`, loadedProgram.compiledCode());
  fs.renameSync(`${cacheFile}.part`, cacheFile);
  fs.writeSync(STANDARD_OUTPUT_DESCRIPTOR, '{"message":"compiled code written"}\n');
});

loadedProgram.evaluate().run(codeCache.CodeCache.Missing);
