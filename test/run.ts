/**
 * Runs every compiled test file in a process of its own and prints one summary line. Failures listed
 * in KNOWN-RED.txt are printed and do not fail the run; any other failure does.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

interface FileOutcome {
  readonly file: string;
  readonly total: number;
  readonly failures: readonly string[];
  readonly output: string;
}

const TEST_FOLDER = __dirname;
const KNOWN_RED_FILE = path.join(process.cwd(), 'KNOWN-RED.txt');
// The model check takes about a minute on an idle machine and several on a busy one.
const FILE_TIMEOUT_MILLISECONDS = 600_000;
// The longest file starts first, so that the others run beside it.
const FIRST_FOLDER = 'model';
const PARALLEL_FILES = 4;
// Its tests load a whole processor and fill the memory of a process; beside others, both would exceed their time limits.
const LAST_FOLDER = 'clients';

function listTests(folder: string): string[] {
  return fs.readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const full = path.join(folder, entry.name);
    if (entry.isDirectory()) {
      return listTests(full);
    }
    return entry.name.endsWith('.test.js') ? [full] : [];
  });
}

/** Reads the names of uvu's failed tests and the total from a file's output. */
function parse(file: string, output: string, exitCode: number | null): FileOutcome {
  const failures = [...output.matchAll(/^\s*FAIL\s+(.*)$/gm)].map((match) =>
    match[1].replace(/\s+/g, ' ').trim(),
  );
  const total = [...output.matchAll(/^\s*Total:\s+(\d+)/gm)].reduce(
    (sum, match) => sum + Number(match[1]),
    0,
  );
  if (exitCode !== 0 && failures.length === 0) {
    failures.push(`${path.relative(TEST_FOLDER, file)} ended with exit code ${exitCode}`);
  }
  return { file, total: Math.max(total, failures.length), failures, output };
}

function runFile(file: string): Promise<FileOutcome> {
  return new Promise((resolve) => {
    childProcess.execFile(
      process.execPath,
      ['--enable-source-maps', file],
      {
        timeout: FILE_TIMEOUT_MILLISECONDS,
        maxBuffer: 64 * 1024 * 1024,
        env: { ...process.env, NO_COLOR: '1', FORCE_COLOR: '0' },
      },
      (error, stdout, stderr) => {
        const exitCode = error === null ? 0 : Number(error.code ?? 1);
        resolve(parse(file, `${stdout}${stderr}`, exitCode));
      },
    );
  });
}

async function runAll(files: readonly string[], parallelFiles: number): Promise<FileOutcome[]> {
  const outcomes: FileOutcome[] = [];
  const queue = [...files];
  const worker = async () => {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
      // Each worker runs one file at a time.
      const outcome = await runFile(file);
      outcomes.push(outcome);
      const relative = path.relative(TEST_FOLDER, file);
      const passed = outcome.total - outcome.failures.length;
      process.stdout.write(`${relative}: ${passed} of ${outcome.total} passed\n`);
    }
  };
  await Promise.all(Array.from({ length: parallelFiles }, worker));
  return outcomes;
}

/** The test names of the entries `test: <name>` in KNOWN-RED.txt. */
function knownRed(): Set<string> {
  if (!fs.existsSync(KNOWN_RED_FILE)) {
    return new Set();
  }
  const text = fs.readFileSync(KNOWN_RED_FILE, 'utf8');
  return new Set([...text.matchAll(/^test:\s*(.*\S)\s*$/gm)].map((match) => match[1]));
}

function isAlone(file: string): boolean {
  return path.relative(TEST_FOLDER, file).startsWith(LAST_FOLDER + path.sep);
}

function startRank(file: string): number {
  return path.relative(TEST_FOLDER, file).startsWith(FIRST_FOLDER) ? 0 : 1;
}

async function main(): Promise<void> {
  const filters = process.argv.slice(2);
  const files = listTests(TEST_FOLDER)
    .sort((left, right) => startRank(left) - startRank(right) || left.localeCompare(right))
    .filter((file) => filters.length === 0 || filters.some((filter) => file.includes(filter)));
  const besideOthers = files.filter((file) => !isAlone(file));
  const outcomes = [
    ...(await runAll(besideOthers, PARALLEL_FILES)),
    ...(await runAll(files.filter(isAlone), 1)),
  ];
  const known = knownRed();
  const failures = outcomes.flatMap((outcome) => outcome.failures);
  const unexpected = failures.filter((name) => !known.has(name));
  outcomes
    .filter((outcome) => outcome.failures.some((name) => !known.has(name)))
    .forEach((outcome) => process.stdout.write(`\n${outcome.output}\n`));
  failures
    .filter((name) => known.has(name))
    .forEach((name) => process.stdout.write(`KNOWN RED: ${name}\n`));
  const total = outcomes.reduce((sum, outcome) => sum + outcome.total, 0);
  process.stdout.write(`\n${total - failures.length} passed, ${unexpected.length} failed\n`);
  process.exitCode = unexpected.length === 0 && total > 0 ? 0 : 1;
}

main();
