/** `npm run bench -- [--json] [--case NAME] [--seed N]`: the decision core in virtual time. */
import * as nodeUtil from 'node:util';
import * as benchCase from './bench-case';
import * as cases from './cases';
import * as deployment from './deployment';

function main(): void {
  const { values } = nodeUtil.parseArgs({
    options: {
      json: { type: 'boolean', default: false },
      case: { type: 'string' },
      seed: { type: 'string', default: '1' },
    },
  });
  const seed = Number(values.seed);
  const chosen = cases.CASES.filter(
    ({ name }) => values.case === undefined || name === values.case,
  );
  if (chosen.length === 0 || !Number.isSafeInteger(seed) || seed < 0) {
    const names = cases.CASES.map(({ name }) => name).join(', ');
    process.stderr.write(`Use --seed with a number from 0, and --case with one of: ${names}\n`);
    process.exitCode = 2;
    return;
  }
  chosen.forEach((scenario) =>
    deployment.DEPLOYMENTS.forEach((cluster) => {
      const figures = scenario.run(cluster, seed);
      const print = values.json ? printJson : printText;
      print(scenario.name, cluster.name, seed, figures);
    }),
  );
}

function printJson(
  name: string,
  clusterName: string,
  seed: number,
  figures: readonly benchCase.Figure[],
): void {
  const results = figures.map((figure) => ({ ...figure, met: benchCase.isMet(figure) }));
  const line = { case: name, deployment: clusterName, seed, figures: results };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function printText(
  name: string,
  clusterName: string,
  seed: number,
  figures: readonly benchCase.Figure[],
): void {
  process.stdout.write(`${name} (${clusterName}, seed ${seed})\n`);
  figures.forEach((figure) => process.stdout.write(`  ${describe(figure)}\n`));
}

function describe(figure: benchCase.Figure): string {
  const value = round(figure.value);
  const details = Object.entries(figure.details).map(([key, detail]) => `${key} ${round(detail)}`);
  const rest = details.length === 0 ? '' : ` [${details.join(', ')}]`;
  if (figure.comparison === benchCase.Comparison.None) {
    return `report  ${figure.measure}: ${value}${rest}`;
  }
  const sign = figure.comparison === benchCase.Comparison.AtLeast ? '>=' : '<=';
  const verdict = benchCase.isMet(figure) ? 'met   ' : 'MISSED';
  return `${verdict}  ${figure.measure}: ${value} (target ${sign} ${figure.bound})${rest}`;
}

function round(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(3);
}

main();
