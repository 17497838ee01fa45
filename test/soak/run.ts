/**
 * `npm run soak -- FIRST_SEED COUNT SECONDS [engines|routes]`: plays soaks with consecutive seeds, of both kinds or of one, and
 * prints what was broken.
 */
import * as soakRun from './soak-run';

async function playRoutes(soak: soakRun.SoakRun, seed: number, seconds: number): Promise<boolean> {
  const { violations, answers, faults, acknowledgedRoutes } = await soak.play(seed, seconds);
  print(
    `seed ${seed}: ${violations.length} broken, ${faults.length} faults, ${acknowledgedRoutes} routes; ${textOf(answers)}`,
    violations,
    faults,
  );
  return violations.length === 0;
}

async function playEngines(soak: soakRun.SoakRun, seed: number, seconds: number): Promise<boolean> {
  const report = await soak.playEngines(seed, seconds);
  const { violations, answers, faults, traces, runs, cachedRuns, foreign, takenUp } = report;
  print(
    `seed ${seed}, engines: ${violations.length} broken, ${faults.length} faults, ${runs} runs, ${cachedRuns} with cached parts, ${foreign.dispatchKnown} of ${foreign.used} uses of other teams' parts judged by their dispatch, ${takenUp.complete} of ${takenUp.sent} streams taken up; ${textOf(answers)}`,
    violations,
    [...traces, ...faults],
  );
  return violations.length === 0;
}

function print(summary: string, violations: readonly string[], details: readonly string[]): void {
  const lines = violations.length > 0 ? [...violations.slice(0, 5), ...details] : [];
  process.stdout.write(`${[summary, ...lines].join('\n  ')}\n`);
}

function textOf(answers: ReadonlyMap<number, number>): string {
  return [...answers]
    .sort()
    .map(([status, number]) => `${status}: ${number}`)
    .join(', ');
}

async function main(
  [first = 1, count = 1, seconds = 40]: readonly number[],
  kind?: string,
): Promise<void> {
  const soak = new soakRun.SoakRun();
  soak.prepare();
  const plays = kind === undefined ? Object.values(PLAYS) : [PLAYS[kind]];
  let broken = 0;
  try {
    for (let seed = first; seed < first + count; seed += 1) {
      let isKept = true;
      for (const play of plays) {
        isKept = (await play(soak, seed, seconds)) && isKept;
      }
      broken += isKept ? 0 : 1;
    }
  } finally {
    soak.close();
  }
  process.stdout.write(`${broken} of ${count} seeds broke a promise\n`);
  process.exitCode = broken === 0 ? 0 : 1;
}

const PLAYS: Readonly<
  Record<string, (soak: soakRun.SoakRun, seed: number, seconds: number) => Promise<boolean>>
> = { routes: playRoutes, engines: playEngines };

const [kind] = process.argv.slice(5);
main(process.argv.slice(2, 5).map(Number), kind);
