/**
 * `npm run measure-daemon -- --part gateway [--rounds N] [--window-seconds N]`: processor time of one gateway and of
 * the control daemons at the size of a grown deployment, idle and under load.
 */
import { cac } from 'cac';
import * as clock from '../../src/clock';
import * as leastSquares from '../../src/load/measure/least-squares';
import * as deploymentUnderTest from './deployment';
import * as plan from './plan';

interface Flags {
  readonly rounds: number;
  readonly windowSeconds: number;
  readonly phases: string;
  readonly programs: string;
  readonly size: plan.DeploymentSize;
  readonly nodeArguments?: string;
  readonly profile?: string;
  readonly help?: boolean;
}

/** Load during one measurement window. */
interface Phase {
  readonly name: string;
  readonly arePeersBusy: boolean;
  readonly requestsPerSecond: number;
}

/** The mean rate of a gateway is 4.4 requests a second in a grown deployment and 2 in a large one. */
const PHASES: readonly Phase[] = [
  { name: 'idle', arePeersBusy: false, requestsPerSecond: 0 },
  { name: 'peers busy', arePeersBusy: true, requestsPerSecond: 0 },
  { name: '2/s', arePeersBusy: true, requestsPerSecond: 2 },
  { name: '4.4/s', arePeersBusy: true, requestsPerSecond: 4.4 },
  { name: '20/s', arePeersBusy: true, requestsPerSecond: 20 },
];

interface Sample {
  readonly gateway: number;
  readonly gatewayWakeUps: number;
  readonly leader: number;
  readonly follower: number;
  readonly counts?: plan.CallCounts;
}

const MAXIMUM_ROUNDS = 20;
const MAXIMUM_WINDOW_SECONDS = 60;
const WARM_UP: plan.CallPlan = { requestsPerSecond: 20, seconds: 6, seed: 99 };

async function main(): Promise<void> {
  const command = cac('measure-gateway');
  command.option('--rounds <n>', 'Number of rounds; each measures every phase once', {
    default: 3,
  });
  command.option('--window-seconds <n>', 'Length of one measurement, in seconds', { default: 8 });
  command.option('--phases <list>', 'Phases to measure, separated by commas', {
    default: PHASES.map(({ name }) => name).join(','),
  });
  command.option(
    '--programs <list>',
    'Programs to measure in turn, as paths below dist/src; build-platform creates the default one',
    {
      default: '../../target/platform/main.js',
    },
  );
  command.option('--size <name>', `One of ${Object.values(plan.DeploymentSize).join(', ')}`, {
    default: plan.DeploymentSize.Grown,
  });
  command.option('--node-arguments <list>', 'Arguments for Node.js, separated by commas');
  command.option('--profile <folder>', 'Folder to which all daemons write processor profiles');
  command.help();
  const flags = command.parse().options as Flags;
  if (flags.help) {
    return;
  }
  if (plan.DEPLOYMENTS[flags.size] === undefined) {
    throw new Error(`--size ${flags.size} is unknown`);
  }
  if (!(flags.rounds <= MAXIMUM_ROUNDS) || !(flags.windowSeconds <= MAXIMUM_WINDOW_SECONDS)) {
    throw new Error(`use at most ${MAXIMUM_ROUNDS} rounds of ${MAXIMUM_WINDOW_SECONDS} s`);
  }
  const programs = flags.programs.split(',');
  const series = programs.map(() => new Map(PHASES.map((phase) => [phase, [] as Sample[]])));
  for (let round = 0; round < flags.rounds; round += 1) {
    for (const [index, program] of programs.entries()) {
      await measureProgram(program, flags, round, series[index]);
    }
  }
  programs.forEach((program, index) => printMedians(program, series[index]));
}

/** Starts the daemons anew, so that all programs are measured at the same age. */
async function measureProgram(
  program: string,
  flags: Flags,
  round: number,
  samples: ReadonlyMap<Phase, Sample[]>,
): Promise<void> {
  const nodeArguments = flags.nodeArguments?.split(',') ?? [];
  const deployment = new deploymentUnderTest.Deployment(
    plan.DEPLOYMENTS[flags.size],
    program,
    nodeArguments,
    flags.profile,
  );
  try {
    await deployment.start();
    await deployment.setPeersBusy(true);
    await deployment.sendRequests(WARM_UP);
    const selectedPhases = PHASES.filter(({ name }) => flags.phases.split(',').includes(name));
    for (const phase of selectedPhases) {
      samples.get(phase)!.push(await measure(deployment, phase, flags.windowSeconds, round));
    }
  } finally {
    await deployment.stop();
  }
}

async function measure(
  deployment: deploymentUnderTest.Deployment,
  phase: Phase,
  seconds: number,
  seed: number,
): Promise<Sample> {
  const time = new clock.SystemClock();
  const { requestsPerSecond } = phase;
  await deployment.setPeersBusy(phase.arePeersBusy);
  await time.sleep(SETTLE_MILLISECONDS);
  const before = deployment.usage();
  const [counts] = await Promise.all([
    requestsPerSecond === 0
      ? undefined
      : deployment.sendRequests({ requestsPerSecond, seconds, seed: seed + 1 }),
    time.sleep(seconds * 1_000),
  ]);
  const after = deployment.usage();
  const elapsed = (after.monotonicMilliseconds - before.monotonicMilliseconds) / 1_000;
  const rate = (first: number, second: number) => (second - first) / elapsed;
  const controls = after.controls
    .map(({ cpuMilliseconds }, index) =>
      rate(before.controls[index].cpuMilliseconds, cpuMilliseconds),
    )
    .sort((left, right) => right - left);
  return {
    gateway: rate(before.gateway.cpuMilliseconds, after.gateway.cpuMilliseconds),
    gatewayWakeUps: rate(before.gateway.wakeUps, after.gateway.wakeUps),
    // The leader uses the most processor time, because it reads the list, sums up the loads and broadcasts.
    leader: controls[0],
    follower: leastSquares.median(controls.slice(1)),
    counts,
  };
}

function printMedians(program: string, samples: ReadonlyMap<Phase, readonly Sample[]>): void {
  const lines = [...samples]
    .filter(([, all]) => all.length > 0)
    .map(([{ name }, all]) => {
      const cells = MEASURES.map((measureOf) =>
        formatCell(leastSquares.median(all.map(measureOf))),
      );
      const successes = all.map(({ counts }) => counts && `${counts.succeeded}/${counts.requests}`);
      return `  ${name.padEnd(12)}${cells.join('')}   ${successes.join(' ')}\n`;
    });
  const heading = ['gateway', 'wake-ups/s', 'leader', 'follower'].map((name) => name.padStart(12));
  process.stdout.write(
    `${program}: milliseconds of processor time a second, medians\n` +
      `  ${''.padEnd(12)}${heading.join('')}   succeeded\n${lines.join('')}`,
  );
}

const MEASURES: readonly ((sample: Sample) => number)[] = [
  ({ gateway }) => gateway,
  ({ gatewayWakeUps }) => gatewayWakeUps,
  ({ leader }) => leader,
  ({ follower }) => follower,
];

function formatCell(value: number): string {
  return value.toFixed(1).padStart(12);
}

/** Time after which the loads that were reported before a change of the phase have been replaced. */
const SETTLE_MILLISECONDS = 1_500;

main().then(
  () => process.exit(0),
  (error) => {
    process.stderr.write(`measure-gateway: ${error.stack}\n`);
    process.exit(1);
  },
);
