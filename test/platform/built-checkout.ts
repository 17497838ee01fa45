import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

/** A copy of the sources in a separate folder, built with the build command of the deploy file. */
export class BuiltCheckout {
  readonly root = fs.mkdtempSync(path.join(os.tmpdir(), 'figline-checkout-'));

  constructor(private readonly repository = process.cwd()) {}

  /** Copies the sources and builds them; throws if the build fails. */
  build(): void {
    SOURCES.forEach((name) =>
      fs.cpSync(path.join(this.repository, name), this.file(name), { recursive: true }),
    );
    fs.symlinkSync(path.join(this.repository, 'node_modules'), this.file('node_modules'));
    // The libraries are those of the repository; the build must not install them again as outdated.
    fs.utimesSync(this.file('package-lock.json'), 0, 0);
    const { PATH, HOME, LANG } = process.env;
    childProcess.execFileSync('sh', ['-c', this.buildCommand()], {
      cwd: this.root,
      env: { PATH, HOME, LANG },
      stdio: ['ignore', 'inherit', 'inherit'],
    });
  }

  remove(): void {
    fs.rmSync(this.root, { recursive: true });
  }

  private buildCommand(): string {
    const text = fs.readFileSync(this.file(path.join('deploy', 'system.toml')), 'utf8');
    return JSON.parse(/^build = (".*")$/m.exec(text)![1]);
  }

  private file(name: string): string {
    return path.join(this.root, name);
  }
}

const SOURCES = [
  '.npmrc',
  'deploy',
  'package-lock.json',
  'package.json',
  'platform',
  'src',
  'tools',
  'tsconfig.build.json',
  'tsconfig.json',
];
