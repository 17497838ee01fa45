import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as esbuild from 'esbuild';

/**
 * One version of the sources, compiled file by file into a folder of its own, so that two versions can be loaded into one
 * process and started side by side. Both use the libraries of this repository.
 */
export class Build {
  private constructor(
    /** For messages of failed checks. */
    readonly name: string,
    readonly root: string,
  ) {}

  /**
   * Builds the commit that production runs from the history of the repository.
   *
   * @throws if the history does not contain the commit
   */
  static production(): Build {
    const name = `production (${productionCommit().slice(0, 7)})`;
    const sources = makeFolder();
    extract(FOLDERS, sources);
    const build = Build.compile(name, sources);
    fs.rmSync(sources, { recursive: true });
    return build;
  }

  /** Builds the sources of the working tree. */
  static current(): Build {
    return Build.compile('the working tree', process.cwd());
  }

  private static compile(name: string, sources: string): Build {
    const root = makeFolder();
    FOLDERS.flatMap((folder) => sourceFilesIn(path.join(sources, folder))).forEach((file) => {
      const target = path.join(root, path.relative(sources, file)).replace(/\.ts$/, '.js');
      fs.mkdirSync(path.dirname(target), { recursive: true });
      fs.writeFileSync(target, compileModule(fs.readFileSync(file, 'utf8'), file));
    });
    fs.symlinkSync(path.join(process.cwd(), 'node_modules'), path.join(root, 'node_modules'));
    fs.writeFileSync(path.join(root, PROGRAM), START_SOURCE);
    return new Build(name, root);
  }

  /**
   * Loads a module of this build. Its schemas are exported, also those that are private in the source.
   *
   * @param file path of the source without its extension
   *
   * @example
   * build.load<typeof wire>('src/wire');
   */
  load<Module>(file: string): Module {
    // The path is known only once the build has been written.
    // eslint-disable-next-line import/no-dynamic-require, global-require
    return require(path.join(this.root, file)) as Module;
  }

  /** Whether a file of the sources, without its extension, belongs to this build. */
  has(file: string): boolean {
    return fs.existsSync(path.join(this.root, `${file}.js`));
  }

  remove(): void {
    fs.rmSync(this.root, { recursive: true });
  }
}

/** Program and argument that start a process of the platform in the root of a build. */
export const COMMAND = 'node start.js';

/**
 * The commit of the last landing.
 *
 * @throws if the history of the clone does not contain it; a skipped test would hide that nothing was compared
 */
function productionCommit(): string {
  const commit = fs.readFileSync(path.join('test', 'upgrade', 'production.txt'), 'utf8').trim();
  try {
    git(['cat-file', '-e', `${commit}^{commit}`]);
  } catch {
    throw new Error(
      `test/upgrade/production.txt names commit ${commit}, which is not in the history of this clone; ` +
        'fetch the whole history (git fetch --unshallow)',
    );
  }
  return commit;
}

/** Text of a file at the commit of the last landing. */
export function productionFile(file: string): string {
  return git(['show', `${productionCommit()}:${file}`]);
}

/** Extracts a folder of the commit of the last landing into `target`; returns its new path. */
export function extractProductionFolder(folder: string, target: string): string {
  extract([folder], target);
  return path.join(target, folder);
}

function extract(folders: readonly string[], target: string): void {
  const archive = path.join(target, 'archive.tar');
  git(['archive', `--output=${archive}`, productionCommit(), ...folders]);
  childProcess.execFileSync('tar', ['-xf', archive, '-C', target]);
}

function git(gitArguments: readonly string[]): string {
  return childProcess.execFileSync('git', gitArguments, {
    encoding: 'utf8',
    stdio: ['ignore', 'pipe', 'pipe'],
    maxBuffer: MAXIMUM_OUTPUT_BYTES,
  });
}

function makeFolder(): string {
  return fs.mkdtempSync(path.join(os.tmpdir(), 'figline-upgrade-'));
}

function sourceFilesIn(folder: string): string[] {
  return fs
    .readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts'))
    .map((file) => path.join(folder, file));
}

function compileModule(text: string, file: string): string {
  const exposed = text.replace(PRIVATE_SCHEMA, 'export const $1');
  const { code } = esbuild.transformSync(exposed, {
    loader: 'ts',
    format: 'cjs',
    target: 'es2022',
    sourcefile: file,
    tsconfigRaw: { compilerOptions: { experimentalDecorators: true } },
  });
  return code;
}

/** `test` holds fixtures that run a gateway of the same build. */
const FOLDERS = ['src', 'platform', 'test', 'tools'];

const PRIVATE_SCHEMA = /^const (\w*[sS]chema)\b/gm;

const PROGRAM = 'start.js';

/** The missing compiled code of a build is no fault here. */
const START_SOURCE = "require('./platform/program').run('used');\n";

const MAXIMUM_OUTPUT_BYTES = 64 * 1_024 * 1_024;
