import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

/** The expected result of sampling the traces of a specification. */
export enum Expectation {
  Safe = 'safe',
  Violation = 'violation',
}

/** One run of the simulator. */
export interface ModelRun {
  /** File in `spec/` without its extension. */
  readonly file: string;
  readonly module: string;
  readonly init: string;
  readonly step: string;
  readonly maximumSteps: number;
  readonly expectation: Expectation;
}

const SPECIFICATION_FOLDER = path.join(process.cwd(), 'spec');
const QUINT = path.join(
  process.cwd(),
  'node_modules',
  '@informalsystems',
  'quint',
  'dist',
  'src',
  'cli.js',
);
const SEED = '0x1';
const RUN_TIMEOUT_MILLISECONDS = 540_000;

/** Narrower environments for faults that are sampled too rarely from the start state. */
const ENVIRONMENTS: Readonly<Record<string, Partial<ModelRun>>> = {
  without_refuse_old_term: { step: 'partitionStep' },
  without_sync_before_acknowledge: { step: 'restartsStep' },
  without_commit_own_term: { init: 'initAfterTwoElections', step: 'partitionStep' },
  without_one_change_at_a_time: { init: 'initWithLearners', step: 'votersStep' },
  without_abandon_unsent_only: { step: 'lostConnectionStep' },
};

/**
 * The runs for one specification: the protocol in every environment that a variant uses, and for each guard
 * that the specification declares one variant without it.
 */
export function modelRuns(file: string): readonly ModelRun[] {
  const guards = guardsOf(file);
  const variants = guards.map((guard): ModelRun => {
    const module = `without_${guard.toLowerCase()}`;
    const environment = ENVIRONMENTS[module] ?? {};
    return { ...baseRun(file, module, Expectation.Violation), ...environment };
  });
  const environments = new Map(variants.map((run) => [`${run.init} ${run.step}`, run]));
  const safe = [baseRun(file, 'protocol', Expectation.Safe), ...environments.values()].map(
    (run): ModelRun => ({ ...run, module: 'protocol', expectation: Expectation.Safe }),
  );
  const distinct = new Map(safe.map((run) => [`${run.init} ${run.step}`, run]));
  return [...distinct.values(), ...variants];
}

/** Samples traces of one module with a fixed seed; resolves with the result of the simulator. */
export function simulate(run: ModelRun, samples: number): Promise<Expectation> {
  const specification = path.join(SPECIFICATION_FOLDER, `${run.file}-variants.qnt`);
  const options = [
    ['--main', run.module],
    ['--init', run.init],
    ['--step', run.step],
    ['--backend', 'typescript'],
    ['--invariant', 'safe'],
    ['--max-samples', String(samples)],
    ['--max-steps', String(run.maximumSteps)],
    ['--seed', SEED],
  ].flat();
  return new Promise((resolve, reject) => {
    childProcess.execFile(
      process.execPath,
      [QUINT, 'run', specification, ...options],
      { timeout: RUN_TIMEOUT_MILLISECONDS, maxBuffer: 64 * 1024 * 1024 },
      (error, stdout, stderr) => {
        if (stdout.includes('[ok] No violation found')) {
          resolve(Expectation.Safe);
        } else if (`${stdout}${stderr}`.includes('Invariant violated')) {
          resolve(Expectation.Violation);
        } else {
          reject(new Error(`quint must report a violation or none for ${run.module}: ${stderr}`));
        }
      },
    );
  });
}

/** Runs `task` for all items, at most `limit` at a time. */
export async function inParallel<Item>(
  items: readonly Item[],
  limit: number,
  task: (item: Item) => Promise<void>,
): Promise<void> {
  const queue = [...items];
  const worker = async () => {
    for (let item = queue.shift(); item !== undefined; item = queue.shift()) {
      await task(item);
    }
  };
  await Promise.all(Array.from({ length: limit }, worker));
}

function baseRun(file: string, module: string, expectation: Expectation): ModelRun {
  return { file, module, init: 'init', step: 'step', maximumSteps: 20, expectation };
}

function guardsOf(file: string): string[] {
  const text = fs.readFileSync(path.join(SPECIFICATION_FOLDER, `${file}.qnt`), 'utf8');
  return [...text.matchAll(/const GUARD_(\w+)/g)].map((match) => match[1]);
}
