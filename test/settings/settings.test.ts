import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as settings from '../../src/settings';

const suite = uvu.suite('settings');
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'figline-settings-'));
const secret = '0123456789abcdef0123456789abcdef';

suite.after(() => fs.rmSync(folder, { recursive: true }));

function writeSecret(name: string, text: string, mode = 0o600): string {
  const file = path.join(folder, name);
  fs.writeFileSync(file, text);
  fs.chmodSync(file, mode);
  return file;
}

/** Valid flags of a daemon with `changes` applied; a flag that is undefined there is left out. */
function flags(changes: Record<string, string | undefined> = {}): string[] {
  const flagValues: Record<string, string | undefined> = {
    'daemon-id': 'entry-1',
    zone: 'pl-caudan',
    region: 'port-louis',
    listen: '127.0.0.1:8080',
    'operator-listen': '127.0.0.1:8081',
    'peer-listen': '127.0.0.1:8082',
    replicas: '127.0.0.1:8082',
    'data-folder': folder,
    'pre-shared-key-file': writeSecret('peer.key', `${secret}\n`),
    'operator-token-file': writeSecret('tokens', `# desk\n${secret}1\n${secret}2\n`),
    'vm-list': 'http://127.0.0.1:9000/machines',
    ...changes,
  };
  return Object.entries(flagValues).flatMap(([flag, value]) =>
    value === undefined ? [] : [`--${flag}=${value}`],
  );
}

function faultsOf(commandArguments: string[], environment = {}): readonly string[] {
  const outcome = settings.load(commandArguments, environment);
  return outcome.ok ? [] : outcome.val.map((fault) => `${fault.source}: ${fault.message}`);
}

suite('a flag takes precedence over its variable, and a variable over the default', () => {
  const environment = { FIGLINE_ZONE: 'cp-forest', FIGLINE_MAX_QUEUED_REQUESTS: '7' };
  const loaded = settings.load(flags(), environment).unwrap();
  assert.is(loaded.zone, 'pl-caudan');
  assert.is(loaded.maximumQueuedRequests, 7);
  assert.is(loaded.machineListIntervalMilliseconds, 1_000);
  assert.equal(loaded.operatorTokens, [`${secret}1`, `${secret}2`]);
});

suite(
  'all faults are reported by one start, so that an operator needs no start for each of them',
  () => {
    const found = faultsOf(
      [
        ...flags({ zone: undefined, listen: 'localhost:80', statsd: '1.2.3.4' }),
        'x',
        '--peer',
        'y',
      ],
      { FIGLINE_REGOIN: 'x', FIGLINE_AUTHOR: 'ok', PATH: '/bin' },
    );
    assert.equal(found, [
      'x: is not a flag; write --FLAG VALUE',
      '--peer: unknown flag; did you mean --peers?',
      'FIGLINE_REGOIN: unknown environment variable; did you mean FIGLINE_REGION?',
      '--zone: is missing; set it or FIGLINE_ZONE',
      '--listen: localhost is not an IP address',
      '--statsd: use IP:PORT, for example 10.20.0.11:8080 or [fd00::11]:8080',
    ]);
    const report = settings.formatFaults([{ source: '--zone', message: 'is missing' }]);
    assert.match(report, '1 fault in the settings:\n  --zone: is missing\n');
  },
);

suite('an empty value, a repeated flag and a flag without a value are rejected', () => {
  const found = faultsOf([...flags({ zone: '' }), '--region', 'x', '--log-level']);
  assert.equal(found, [
    '--zone: a value is missing',
    '--region: is given more than once',
    '--log-level: a value is missing',
  ]);
});

suite('a secret that others can read, or that is short, is rejected without being printed', () => {
  const open = writeSecret('open.key', secret, 0o640);
  const short = writeSecret('short.key', 'hunter2');
  const found = faultsOf(flags({ 'pre-shared-key-file': open, 'operator-token-file': short }));
  assert.match(found[0], 'is open to other users (mode 640); run chmod 600');
  assert.match(found[1], 'has 7 characters; use at least 32');
  assert.not.match(found.join(), /hunter2|0123456789abcdef/);
  const absent = faultsOf(flags({ 'pre-shared-key-file': path.join(folder, 'absent') }));
  assert.match(absent[0], 'cannot be read');
});

suite('a control group that cannot bootstrap is rejected at start', () => {
  const found = faultsOf(
    flags({ replicas: '127.0.0.1:8082,10.0.0.2:8082', 'data-folder': undefined }),
  );
  assert.match(found.join('\n'), '10.0.0.2:8082 is not in --peers');
  assert.match(found.join('\n'), 'the address of this daemon, which has no --data-folder');
  const wildcard = faultsOf(flags({ 'peer-listen': '0.0.0.0:8082' }));
  assert.match(wildcard[0], 'not a wildcard address');
});

suite('a location from which no VM list can be read is rejected at start', () => {
  [
    'https://127.0.0.1:1/machines',
    'http://lists:1/machines',
    'http://127.0.0.1:1',
    'file:vms',
  ].forEach((location) => assert.is(faultsOf(flags({ 'vm-list': location })).length, 1, location));
  const loaded = settings.load(flags({ 'vm-list': 'file:/run/vms.json' }), {}).unwrap();
  assert.is(loaded.machineList.location, '/run/vms.json');
});

suite('two listeners on one address are rejected before one of them fails to bind', () => {
  const found = faultsOf(flags({ 'operator-listen': '127.0.0.1:8080' }));
  assert.equal(found, ['--operator-listen: is the same address as --listen']);
});

suite('the help text lists every setting', () => {
  const help = settings.helpText();
  settings.DEFINITIONS.forEach((entry) => {
    assert.match(help, `--${entry.flag} ${entry.placeholder}`);
    assert.match(help, entry.description);
  });
});

suite.run();
