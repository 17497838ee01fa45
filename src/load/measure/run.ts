/**
 * `npm run measure-daemon -- --part latency|relay|state|control|decision|gateway [--dimension NAME] [--rounds N] [--json]`:
 * cost of one daemon on this machine. All processes run on loopback and end with the measurement.
 */
import { cac } from 'cac';
import * as child from './child';
import * as controlMeasurement from './control-measurement';
import * as controlReport from './control-report';
import * as decisionCost from './decision-cost';
import * as latencyMeasurement from './latency-measurement';
import * as plans from './plans';
import * as stateSize from './state-size';

interface Flags {
  readonly part: string;
  readonly dimension: string;
  readonly values: string;
  readonly rounds: number;
  readonly windowSeconds: number;
  readonly json: boolean;
  /** Folder for processor profiles of the platform's daemons. */
  readonly profile?: string;
  readonly size: string;
  readonly help?: boolean;
}

const dimensions = Object.values(controlMeasurement.Dimension);
const MAXIMUM_ROUNDS = 20;
const MAXIMUM_WINDOW_SECONDS = 120;

function readFlags(): Flags {
  const command = cac('measure-daemon');
  command.option(
    '--part <name>',
    'latency, relay, state, control, decision or gateway; all by default',
    {
      default: 'all',
    },
  );
  command.option('--dimension <name>', `One of ${dimensions.join(', ')}`, { default: 'all' });
  command.option('--values <list>', 'Values of the dimension, separated by commas', {
    default: '',
  });
  command.option('--rounds <n>', 'Number of times each measurement is repeated', { default: 3 });
  command.option('--window-seconds <n>', 'Length of one measurement, in seconds', { default: 8 });
  command.option('--profile <folder>', 'Folder for the processor profiles of --part gateway');
  command.option('--size <name>', 'Deployment of --part gateway: grown or large', {
    default: 'grown',
  });
  command.option('--json', 'Print JSON lines', { default: false });
  command.help();
  return command.parse().options as Flags;
}

function print(flags: Flags, text: string, value: unknown): void {
  process.stdout.write(flags.json ? `${JSON.stringify(value)}\n` : `${text}\n`);
}

async function latency(flags: Flags, chosen: readonly plans.TimedPlan[]): Promise<void> {
  const { rounds, windowSeconds: seconds } = flags;
  await latencyMeasurement.measureLatency(
    chosen.map((plan) => ({ ...plan, rounds, seconds })),
    (plan, results) =>
      print(flags, latencyMeasurement.formatLatency(plan, results), { plan, results }),
  );
}

async function control(flags: Flags): Promise<void> {
  const chosen = dimensions.filter((name) => ['all', name].includes(flags.dimension));
  for (const dimension of chosen) {
    const values =
      flags.values === ''
        ? controlMeasurement.DIMENSION_VALUES[dimension]
        : String(flags.values).split(',').map(Number);
    const points: controlMeasurement.DimensionPoint[] = [];
    for (let round = 0; round < flags.rounds; round += 1) {
      const window = flags.windowSeconds * 1_000;
      points.push(...(await controlMeasurement.measureDimension(dimension, values, window)));
    }
    print(flags, controlReport.formatDimension(points), points);
  }
}

/** A separate program measures the platform's daemons, because only that program uses their formats. */
async function gateway({ rounds, windowSeconds, profile, size }: Flags): Promise<void> {
  const flags = [`--rounds=${rounds}`, `--window-seconds=${windowSeconds}`, `--size=${size}`];
  const profiled = profile === undefined ? [] : [`--profile=${profile}`];
  const measurement = child.Child.start('../tools/measure/gateway-run.js', [...flags, ...profiled]);
  await measurement.forwardOutput();
}

async function main(): Promise<void> {
  const flags = readFlags();
  if (flags.help) {
    return;
  }
  if (!(flags.rounds <= MAXIMUM_ROUNDS) || !(flags.windowSeconds <= MAXIMUM_WINDOW_SECONDS)) {
    throw new Error(`use at most ${MAXIMUM_ROUNDS} rounds of ${MAXIMUM_WINDOW_SECONDS} s`);
  }
  if (['all', 'latency'].includes(flags.part)) {
    await latency(flags, plans.LATENCY_PLANS);
  }
  if (['all', 'relay'].includes(flags.part)) {
    await latency(flags, plans.RELAY_PLANS);
  }
  if (['all', 'state'].includes(flags.part)) {
    const sizes = stateSize.measureStateSizes();
    const listMilliseconds = stateSize.measureListReading();
    const tickMilliseconds = stateSize.measureTick();
    const text = stateSize.formatStateSizes(sizes, listMilliseconds, tickMilliseconds);
    print(flags, text, { sizes, listMilliseconds, tickMilliseconds });
  }
  if (['all', 'control'].includes(flags.part)) {
    await control(flags);
  }
  if (['all', 'decision'].includes(flags.part)) {
    const costs = decisionCost.measureDecisionCosts();
    print(flags, decisionCost.formatDecisionCosts(costs), costs);
  }
  if (['all', 'gateway'].includes(flags.part)) {
    await gateway(flags);
  }
}

main().then(
  () => process.exit(0),
  (error) => {
    process.stderr.write(`measure-daemon: ${error.stack}\n`);
    process.exit(1);
  },
);
