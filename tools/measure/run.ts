/**
 * `npm run measure-start -- [--variant NAME=ROOT[=V8 FLAGS]]... [--starts N] [--idle-seconds N] [--json]`: processor time and
 * memory of the platform's processes from their start to idling, in built repositories. All processes run on
 * loopback and end with the measurement.
 */
import * as path from 'node:path';
import { cac } from 'cac';
import * as deployFile from '../local/deploy-file';
import * as startMeasurement from './start-measurement';

interface Flags {
  readonly variant: string | readonly string[];
  readonly starts: number;
  readonly idleSeconds: number;
  readonly json: boolean;
  readonly help?: boolean;
}

const MAXIMUM_STARTS = 50;
const MAXIMUM_IDLE_SECONDS = 60;

function readFlags(): Flags {
  const command = cac('measure-start');
  command.option(
    '--variant <name>',
    'NAME=ROOT[=FLAGS]: a label, the root of a built repository, flags for node',
    {
      default: 'present=.',
    },
  );
  command.option('--starts <n>', 'Number of starts of each variant', { default: 7 });
  command.option('--idle-seconds <n>', 'Idle time measured after each start, in seconds', {
    default: 3,
  });
  command.option('--json', 'Print each start as a JSON line', { default: false });
  command.help();
  return command.parse().options as Flags;
}

/** Inserts the flags before those of the deploy file. */
function variantOf(text: string): startMeasurement.StartVariant {
  const [name, folder, ...rest] = text.split('=');
  const root = path.resolve(folder);
  const flags = rest.length === 0 ? '' : `${rest.join('=')} `;
  const commandOf = (role: deployFile.Role) =>
    deployFile.commandOf(role, root).replace(/^node /, `node ${flags}`);
  const { Gateway, Control } = deployFile.Role;
  return { name, root, gateway: commandOf(Gateway), control: commandOf(Control) };
}

async function main(): Promise<void> {
  const flags = readFlags();
  if (flags.help) {
    return;
  }
  if (!(flags.starts <= MAXIMUM_STARTS) || !(flags.idleSeconds <= MAXIMUM_IDLE_SECONDS)) {
    throw new Error(
      `use at most ${MAXIMUM_STARTS} --starts and ${MAXIMUM_IDLE_SECONDS} --idle-seconds`,
    );
  }
  const variants = [flags.variant].flat().map(variantOf);
  const samples = new Map<string, startMeasurement.StartSample[]>();
  const recordSample = (
    variant: startMeasurement.StartVariant,
    sample: startMeasurement.StartSample,
  ) => {
    const key = `${sample.role}, ${variant.name}`;
    samples.set(key, [...(samples.get(key) ?? []), sample]);
    if (flags.json) {
      process.stdout.write(`${JSON.stringify({ variant: variant.name, ...sample })}\n`);
    }
  };
  await startMeasurement.measureStarts(variants, flags.starts, flags.idleSeconds, recordSample);
  [...samples]
    .sort(([left], [right]) => left.localeCompare(right))
    .forEach(([key, variantSamples]) =>
      process.stdout.write(`${startMeasurement.formatStarts(key, variantSamples)}\n`),
    );
}

main().then(
  () => process.exit(0),
  (error) => {
    process.stderr.write(`measure-start: ${error.stack}\n`);
    process.exit(1);
  },
);
