/**
 * Starts the processes of a small deployment on loopback addresses, with the commands of the deploy file, and stand-ins for the
 * platform's list and for runners. Every stand-in behaves like a sound one unless a test tells it otherwise.
 */
import * as childProcess from 'node:child_process';
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

const ROOT =
  process.env.REVIEW_ROOT ?? path.resolve(import.meta.dirname ?? folderOfModule(), '../..');

function folderOfModule() {
  return path.dirname(url.fileURLToPath(import.meta.url));
}

export const sleep = (milliseconds) =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

/** Whether the test makes the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Writes lines with the time since the start into `record.txt`. */
export class Record {
  constructor(folder) {
    this.startedAt = performance.now();
    this.stream = fs.createWriteStream(path.join(folder, 'record.txt'));
  }

  write(kind, fields = {}) {
    const at = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
    this.stream.write(`${at} ${kind} ${JSON.stringify(fields)}\n`);
  }

  close() {
    return new Promise((resolve) => {
      this.stream.end(resolve);
    });
  }
}

/** Commands of the roles in the deploy file. */
function commands() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = (role) => new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]+)"`).exec(text)[1];
  return { gateway: run('gateway').split(' '), control: run('control').split(' ') };
}

async function freePorts(count) {
  const servers = Array.from({ length: count }, () => net.createServer());
  const ports = [];
  for (const server of servers) {
    await new Promise((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    ports.push(server.address().port);
  }
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}

/** The platform's list of runners, and the processes of the system under test. */
export class System {
  constructor(record, { memoryMegabytes = 200, descriptors = 4_100, bounds = {} } = {}) {
    this.record = record;
    this.limits = { memory_mb: memoryMegabytes, max_fds: descriptors };
    this.bounds = bounds;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'figline-review-'));
    this.prefix = `127.${crypto.randomInt(1, 255)}.${crypto.randomInt(0, 255)}`;
    this.entries = [];
    this.processes = [];
    this.commands = commands();
    this.isListDown = false;
  }

  async start(controlCount, gatewayCount) {
    const [peer, metrics, front, ready, control] = await freePorts(5);
    this.ports = { peer, metrics, front, ready, control };
    this.list = http.createServer((_request, response) => {
      if (this.isListDown) {
        response.writeHead(503).end();
        return;
      }
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify({ instances: this.entries, next_page_token: null }));
    });
    await new Promise((resolve) => {
      this.list.listen(0, '127.0.0.1', resolve);
    });
    this.controls = Array.from({ length: controlCount }, (_unused, index) =>
      this.machine(`core-${index}`, index + 1, true),
    );
    this.gateways = Array.from({ length: gatewayCount }, (_unused, index) =>
      this.machine(`front-${index}`, index + 101, false),
    );
    this.seeds = this.controls.map(({ ip }) => `${ip}:${control}`);
    [...this.controls, ...this.gateways].forEach((machine) => this.startProcess(machine, true));
  }

  machine(name, host, isControl) {
    const ip = `${this.prefix}.${host}`;
    const folder = path.join(this.folder, name);
    fs.mkdirSync(folder);
    return { name, ip, folder, isControl };
  }

  startProcess(machine, isFirst = false) {
    const { front, ready, control, peer, metrics } = this.ports;
    const { name, ip, folder, isControl } = machine;
    const listen = isControl
      ? { control: `${ip}:${control}` }
      : { front: `${ip}:${front}`, ready: `${ip}:${ready}` };
    const settings = {
      node: name,
      role: isControl ? 'control' : 'gateway',
      machine_class: isControl ? 'core' : 'front',
      ip,
      zone: 'zone-a',
      region: 'region-a',
      zones: { 'zone-a': 'region-a' },
      listen,
      internal_ports: [peer, metrics],
      seeds: this.seeds,
      bootstrap: isFirst,
      counts_in_tolerance: isControl,
      limits: isControl ? { memory_mb: 346, max_fds: 4_096 } : this.limits,
      data_dir: isControl ? folder : null,
      fault_tolerance: { machines: Math.floor((this.controls.length - 1) / 2) },
      bounds: {
        drain_ms: 3_000,
        grace_s: 8,
        config_apply_ms: 2_500,
        retry_budget_ratio: 0.2,
        retry_budget_slack: 56,
        budget_window_s: 10,
        version_ms: 8_000,
        require_fencing: true,
        lease_ms: 3_000,
        ...this.bounds,
      },
      cloud_api: { addr: `127.0.0.1:${this.list.address().port}`, rate_per_s: 44, max_lag_ms: 800 },
    };
    const file = path.join(this.folder, `${name}.yaml`);
    fs.writeFileSync(file, JSON.stringify(settings));
    const [program, ...parameters] = isControl ? this.commands.control : this.commands.gateway;
    const log = fs.openSync(path.join(this.folder, `${name}.log`), 'a');
    const started = childProcess.spawn(program, parameters, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, FIGLINE_BOOT: file },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    machine.process = started;
    machine.exit = undefined;
    this.processes.push(started);
    this.record.write('start', { name, pid: started.pid });
    started.once('exit', (code, signal) => {
      machine.exit = { code, signal };
      this.record.write('exit', { name, code, signal });
    });
  }

  logOf({ name }) {
    return fs.readFileSync(path.join(this.folder, `${name}.log`), 'utf8');
  }

  /** Sends an order to the control daemons in turn until one acknowledges it; resolves with the time of the ack. */
  async order(method, target, body, limit = 20_000) {
    const end = performance.now() + limit;
    for (let attempt = 0; performance.now() < end; attempt += 1) {
      const { ip } = this.controls[attempt % this.controls.length];
      const status = await fetch(`http://${ip}:${this.ports.control}${target}`, {
        method,
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(1_000),
      }).then(
        (response) => response.status,
        () => 0,
      );
      if (status === 200) {
        this.record.write('acknowledged', { target, version: body.version });
        return performance.now();
      }
      await sleep(150);
    }
    throw new CannotRun(`no control daemon acknowledged ${target}`);
  }

  /** Waits until every gateway says that it is ready. */
  async ready(limit = 20_000) {
    const end = performance.now() + limit;
    for (const { ip } of this.gateways) {
      while (!(await this.isReady(ip))) {
        if (performance.now() > end) {
          throw new CannotRun('a gateway did not become ready');
        }
        await sleep(100);
      }
    }
  }

  isReady(ip) {
    return fetch(`http://${ip}:${this.ports.ready}/-/ready`, {
      signal: AbortSignal.timeout(1_000),
    }).then(
      (response) => response.status === 200,
      () => false,
    );
  }

  front(index = 0) {
    return { host: this.gateways[index].ip, port: this.ports.front };
  }

  async stop() {
    this.processes.forEach((started) => started.kill('SIGCONT'));
    this.processes.forEach((started) => started.kill('SIGKILL'));
    this.list?.closeAllConnections();
    this.list?.close();
    if (process.env.KEEP === undefined) {
      fs.rmSync(this.folder, { recursive: true, force: true });
    }
  }
}

/** The case cannot run on this machine. */
export class CannotRun extends Error {}

/** Resident memory of a process in bytes; 0 once it has ended. */
export function residentBytes(pid) {
  try {
    const text = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1] ?? 0) * 1_024;
  } catch {
    return 0;
  }
}

/**
 * Runs a case: `body` returns the list of what broke the rule. Ends with 1 if the rule was broken, 0 if it held, and 2 if the case
 * could not run.
 */
export async function runCase(folder, options, body) {
  const record = new Record(folder);
  const system = new System(record, options);
  let code = 2;
  ['SIGINT', 'SIGTERM'].forEach((signal) =>
    process.once(signal, () => {
      system.stop();
      process.exit(2);
    }),
  );
  const limit = setTimeout(() => {
    record.write('cannot run', { reason: 'the time of the test is over' });
    system.stop();
    process.exit(2);
  }, 115_000);
  try {
    const broken = await body(system, record);
    broken.forEach((line) => record.write('broken', { line }));
    record.write('result', { trouble: hasTrouble, broken: broken.length });
    code = broken.length > 0 ? 1 : 0;
    process.stdout.write(`${code === 1 ? 'rule broken' : 'rule held'}\n${broken.join('\n')}\n`);
  } catch (error) {
    record.write('cannot run', { reason: String(error?.stack ?? error) });
    process.stdout.write(`cannot run: ${error}\n`);
  }
  clearTimeout(limit);
  await system.stop();
  await record.close();
  process.exit(code);
}
