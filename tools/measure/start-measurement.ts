import * as clock from '../../src/clock';
import * as leastSquares from '../../src/load/measure/least-squares';
import * as deployFile from '../local/deploy-file';
import * as platformProcess from '../local/platform-process';
import * as loopbackEnvironment from '../local/loopback-environment';

/** A way to start the processes, which a measurement compares with others. */
export interface StartVariant {
  readonly name: string;
  /** Root of a built repository, in which the command runs. */
  readonly root: string;
  /** Program and arguments of a gateway. */
  readonly gateway: string;
  /** Program and arguments of a control daemon. */
  readonly control: string;
}

/** Measurements of one start. Processor time counts from the start of the process, except for the idle rate. */
export interface StartSample {
  readonly role: deployFile.Role;
  readonly startedCpuMilliseconds: number;
  readonly startedResidentMegabytes: number;
  /** A gateway is ready for callers; a control daemon has acknowledged a routing document. */
  readonly readyCpuMilliseconds: number;
  readonly readyMilliseconds: number;
  readonly readyResidentMegabytes: number;
  readonly idleCpuMillisecondsPerSecond: number;
  readonly idleResidentMegabytes: number;
}

/** Starts a control daemon and a gateway of each variant in turn and measures them. */
export async function measureStarts(
  variants: readonly StartVariant[],
  starts: number,
  idleSeconds: number,
  onSample: (variant: StartVariant, sample: StartSample) => void,
): Promise<void> {
  for (let round = 0; round < starts; round += 1) {
    // The order rotates, so that no variant always follows the same other one.
    const offset = round % variants.length;
    for (const variant of [...variants.slice(offset), ...variants.slice(0, offset)]) {
      const samples = await measureStart(variant, idleSeconds);
      samples.forEach((sample) => onSample(variant, sample));
    }
  }
}

/** Medians of the samples of one variant and role, as a line of text. */
export function formatStarts(name: string, samples: readonly StartSample[]): string {
  const cells = Object.entries(MEASURES).map(([label, measure]) => {
    const values = samples.map(measure).sort((left, right) => left - right);
    const range = `${formatValue(values[0])}..${formatValue(values.at(-1)!)}`;
    return `  ${label.padEnd(24)}${formatValue(leastSquares.median(values)).padStart(8)}  (${range})`;
  });
  return [`${name} (${samples.length} starts)`, ...cells, ''].join('\n');
}

const MEASURES: Readonly<Record<string, (sample: StartSample) => number>> = {
  'started, CPU ms': (sample) => sample.startedCpuMilliseconds,
  'started, resident MB': (sample) => sample.startedResidentMegabytes,
  'ready, CPU ms': (sample) => sample.readyCpuMilliseconds,
  'ready, ms': (sample) => sample.readyMilliseconds,
  'ready, resident MB': (sample) => sample.readyResidentMegabytes,
  'idle, CPU ms/s': (sample) => sample.idleCpuMillisecondsPerSecond,
  'idle, resident MB': (sample) => sample.idleResidentMegabytes,
};

async function measureStart(
  variant: StartVariant,
  idleSeconds: number,
): Promise<readonly StartSample[]> {
  const environment = new loopbackEnvironment.LoopbackEnvironment();
  await environment.start();
  const children: platformProcess.PlatformProcess[] = [];
  const start = (command: string, node: loopbackEnvironment.PlatformNode) => {
    const child = platformProcess.PlatformProcess.start(command, variant.root, node.settingsFile);
    children.push(child);
    return child;
  };
  try {
    const node = environment.controlDaemon('core-1');
    const control = start(variant.control, node);
    const controlSample = await measureProcess(deployFile.Role.Control, control, idleSeconds, () =>
      loopbackEnvironment.putRouting(node, ROUTING),
    );
    const gateway = start(variant.gateway, environment.gateway('front-1'));
    const gatewaySample = await measureProcess(
      deployFile.Role.Gateway,
      gateway,
      idleSeconds,
      async () => {
        await gateway.waitForLog('ready');
      },
    );
    return [controlSample, gatewaySample];
  } finally {
    await Promise.all(children.map((child) => child.stop('SIGKILL')));
    await environment.stop();
  }
}

async function measureProcess(
  role: deployFile.Role,
  child: platformProcess.PlatformProcess,
  idleSeconds: number,
  becomeReady: () => Promise<void>,
): Promise<StartSample> {
  const time = new clock.SystemClock();
  const begin = time.monotonic();
  await child.waitForLog('started');
  const started = child.usage();
  await becomeReady();
  const ready = child.usage();
  const readyMilliseconds = time.monotonic() - begin;
  await time.sleep(idleSeconds * 1_000);
  const idle = child.usage();
  return {
    role,
    startedCpuMilliseconds: started.cpuMilliseconds,
    startedResidentMegabytes: started.residentBytes / MEGABYTE,
    readyCpuMilliseconds: ready.cpuMilliseconds,
    readyMilliseconds,
    readyResidentMegabytes: ready.residentBytes / MEGABYTE,
    idleCpuMillisecondsPerSecond: (idle.cpuMilliseconds - ready.cpuMilliseconds) / idleSeconds,
    idleResidentMegabytes: idle.residentBytes / MEGABYTE,
  };
}

const MEGABYTE = 1_000_000;

const ROUTING = { version: 1, routes: [], services: [] };

function formatValue(value: number): string {
  return value < 10 ? value.toFixed(2) : value.toFixed(0);
}
