/**
 * Runs emulated servers in a separate process and prints one JSON line for each when it is ready:
 *
 *     node dist/src/emulator/run.js --kind engine --count 2 --options '{"slots":4}'
 *     {"kind":"engine","host":"127.0.0.1","port":40001,"controlPort":40002,"pid":123}
 */
import { cac } from 'cac';
import * as clock from '../clock';
import * as controlEndpoint from './control-endpoint';
import * as emulatedEngine from './emulated-engine';
import * as emulatedCacheStore from './emulated-cache-store';
import * as emulatedMachineList from './emulated-machine-list';
import * as emulatedPlainService from './emulated-plain-service';
import * as emulatedServer from './emulated-server';
import * as weightStore from './weight-store';

enum ServerKind {
  Engine = 'engine',
  Plain = 'plain',
  CacheStore = 'kept-cache',
  List = 'list',
}

interface RunFlags {
  readonly kind: ServerKind;
  readonly port: number;
  readonly count: number;
  readonly options: string;
}

/** Time limit for requests in progress after SIGTERM. */
const GRACE_MILLISECONDS = 30_000;
const HOST = '127.0.0.1';

function readFlags(): RunFlags {
  const command = cac('emulator');
  command.option('--kind <kind>', 'engine, plain, kept-cache or list', { default: 'engine' });
  command.option('--port <port>', 'Port of the first server; 0 chooses one', { default: 0 });
  command.option('--count <count>', 'Number of servers', { default: 1 });
  command.option('--options <json>', 'Settings of the servers', { default: '{}' });
  command.help();
  return command.parse().options as RunFlags;
}

function build(flags: RunFlags, weights: weightStore.WeightStore): emulatedServer.EmulatedServer {
  const time = new clock.SystemClock();
  const options = JSON.parse(flags.options);
  switch (flags.kind) {
    case ServerKind.Engine:
      return new emulatedEngine.EmulatedEngine(options, time, weights);
    case ServerKind.Plain:
      return new emulatedPlainService.EmulatedPlainService(options, time);
    case ServerKind.CacheStore:
      return new emulatedCacheStore.EmulatedCacheStore(time);
    case ServerKind.List:
      return listServer(options, time);
    default:
      throw new Error(`unknown kind ${flags.kind}`);
  }
}

function listServer(
  options: { lagMilliseconds?: number; machines?: [] },
  time: clock.Clock,
): emulatedServer.EmulatedServer {
  const { lagMilliseconds = 0, machines = [] } = options;
  return new emulatedMachineList.EmulatedMachineList(lagMilliseconds, time, machines);
}

async function start(flags: RunFlags): Promise<emulatedServer.EmulatedServer[]> {
  const weights = new weightStore.WeightStore(new clock.SystemClock());
  const servers: emulatedServer.EmulatedServer[] = [];
  for (let index = 0; index < flags.count; index += 1) {
    const server = build(flags, weights);
    await server.listen(flags.port === 0 ? 0 : flags.port + index);
    const controlPort = await new controlEndpoint.ControlEndpoint(server).listen(HOST);
    const { port } = server;
    const line = { kind: flags.kind, host: HOST, port, controlPort, pid: process.pid };
    process.stdout.write(`${JSON.stringify(line)}\n`);
    servers.push(server);
  }
  return servers;
}

async function main(): Promise<void> {
  const servers = await start(readFlags());
  process.once('SIGTERM', async () => {
    await Promise.all(servers.map((server) => server.stop(GRACE_MILLISECONDS)));
    process.exit(0);
  });
}

main().catch((error) => {
  process.stderr.write(`${error}\n`);
  process.exit(1);
});
