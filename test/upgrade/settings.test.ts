import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as zod from 'zod';
import type * as routingDocument from '../../platform/routing-document';
import type * as platformSettings from '../../platform/settings';
import type * as configuration from '../../src/configuration';
import type * as settings from '../../src/settings';
import type * as gatewayBuilder from '../platform/gateway-builder';
import type * as loopbackEnvironment from '../../tools/local/loopback-environment';
import * as buildModule from './build';
import * as containment from './containment';
import * as property from './property';
import * as schemaValues from './schema-values';

const suite = uvu.suite('settings and documents of the last landing');

const production = buildModule.Build.production();
const current = buildModule.Build.current();
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'figline-upgrade-settings-'));

suite.after(() => {
  production.remove();
  current.remove();
  fs.rmSync(folder, { recursive: true });
});

/** Guards against a process that does not start, or starts with other settings, from the platform's file of either version. */
suite('each build reads the settings files that the other reads', () => {
  [
    [production, current],
    [current, production],
  ].forEach(([known, other]) => {
    const { settingsSchema } = known.load<Record<string, zod.ZodType>>('platform/settings');
    const values = schemaValues.valuesOf(settingsSchema, ['10.1.0.23:8782', '127.0.0.1:1']);
    property.holdsFor(values, (value) => assertSameSettings(JSON.stringify(value), known, other));
  });
});

/** Guards against a change that is tested only with settings which production does not have. */
suite('the settings files in the fixtures of the last landing are read as before', async () => {
  const { LoopbackEnvironment } = production.load<typeof loopbackEnvironment>(
    'tools/local/loopback-environment',
  );
  const environment = new LoopbackEnvironment();
  await environment.start();
  const files = [environment.controlDaemon('core-1'), environment.gateway('front-1')];
  const texts = files.map(({ settingsFile }) => fs.readFileSync(settingsFile, 'utf8'));
  await environment.stop();
  const source = buildModule.productionFile('test/platform/decoding.test.ts');
  const [, decoded] = /^const SETTINGS = `\n([^`]*)`;$/m.exec(source)!;
  [...texts, decoded].forEach((text) => assertSameSettings(text, production, current));
});

/** Guards against a flag or a variable that is renamed, removed or restricted: a daemon that is updated would not start. */
suite('the documented flags and variables of the last landing are accepted', () => {
  const page = buildModule.productionFile('docs/OPERATIONS.md');
  const rows = [
    ...page.matchAll(/^\| `--([a-z-]+)` \| `(FIGLINE_[A-Z_]+)` \| `(.*?)` \| (\S+) \|/gm),
  ];
  assert.ok(rows.length > 10, 'the table of settings is found');
  const documented = rows.map(([, flag, variable, placeholder, absence]) => ({
    flag,
    variable,
    value: /^`.*`$/.test(absence) ? absence.slice(1, -1) : sampleOf(flag, placeholder),
  }));
  const flags = documented.map(({ flag, value }) => `--${flag}=${value}`);
  const variables = documented.map(({ variable, value }) => [variable, value]);
  assertSameDaemonSettings(flags, {});
  assertSameDaemonSettings([], Object.fromEntries(variables));
});

/** Guards against settings of the first start in the documentation that a new build refuses. */
suite('the example of the first start of the last landing is accepted', () => {
  const page = buildModule.productionFile('docs/OPERATIONS.md');
  const lines = [...page.matchAll(/^ +(FIGLINE_[A-Z_]+)=(.*)$/gm)];
  assert.ok(lines.length > 8, 'the example is found');
  const variables = lines.map(([, variable, value]) => [
    variable,
    value.startsWith('/') ? sampleOf(variable.toLowerCase().replaceAll('_', '-'), 'PATH') : value,
  ]);
  assertSameDaemonSettings([], Object.fromEntries(variables));
});

/** Guards against configuration files of operators that a new build refuses or reads differently. */
suite('the examples of the last landing are read as before', () => {
  const examples = buildModule.extractProductionFolder('examples', folder);
  const sites = fs
    .readdirSync(examples, { withFileTypes: true })
    .filter((entry) => entry.isDirectory());
  assert.ok(sites.length > 0);
  sites.forEach(({ name }) => {
    const [before, after] = [production, current].map((build) =>
      build.load<typeof configuration>('src/configuration').collect(path.join(examples, name)),
    );
    assert.equal(after.problems, []);
    assert.equal(containment.missingParts(before, after), []);
  });
});

/** Guards against a routing document that was acknowledged and that the gateways of the other build cannot use. */
suite('each build uses the routing document of the fixtures of the other', () => {
  [
    [production, current],
    [current, production],
  ].forEach(([writer, reader]) => {
    const { document } = writer.load<typeof gatewayBuilder>('test/platform/gateway-builder');
    const text = JSON.stringify(document());
    const [before, after] = [writer, reader].map((build) =>
      build.load<typeof routingDocument>('platform/routing-document').decodeRouting(text).unwrap(),
    );
    const [older, newer] = writer === production ? [before, after] : [after, before];
    assert.equal(containment.missingParts(older, newer), []);
  });
});

suite.run();

function assertSameSettings(
  text: string,
  known: buildModule.Build,
  other: buildModule.Build,
): void {
  const [before, after] = [known, other].map((build) =>
    build.load<typeof platformSettings>('platform/settings').decodeSettings(text),
  );
  assert.ok(before.ok, `${known.name}: ${String(before.val)}`);
  assert.ok(after.ok, `${other.name}: ${String(after.val)}`);
  const [older, newer] = known === production ? [before, after] : [after, before];
  const missing = containment.missingParts(older.val, newer.val);
  assert.equal(missing, [], `read differently: ${missing.join(', ')}`);
}

function assertSameDaemonSettings(
  flags: readonly string[],
  variables: Readonly<Record<string, string>>,
): void {
  const [before, after] = [production, current].map((build) =>
    build.load<typeof settings>('src/settings').load(flags, variables),
  );
  assert.ok(before.ok, `${production.name}: ${JSON.stringify(before.val)}`);
  assert.ok(after.ok, `${current.name}: ${JSON.stringify(after.val)}`);
  const missing = containment.missingParts(before.val, after.val);
  assert.equal(missing, [], `read differently: ${missing.join(', ')}`);
}

/** A value that fits the placeholder of a setting in the documentation. */
function sampleOf(flag: string, placeholder: string): string {
  if (placeholder === 'PATH') {
    return flag.endsWith('folder') ? folder : secretFile();
  }
  const port =
    flag === 'replicas' || flag === 'peers' ? SAMPLE_PORTS['peer-listen'] : SAMPLE_PORTS[flag];
  const samples: Readonly<Record<string, string>> = {
    NAME: 'entry-1',
    'IP:PORT': `127.0.0.1:${port ?? 8_089}`,
    'IP:PORT,...': `127.0.0.1:${port}`,
    'file:PATH\\|http:URL': 'http://127.0.0.1:9000/machines',
  };
  const sample = samples[placeholder];
  if (sample === undefined) {
    throw new Error(`no sample for the placeholder ${placeholder} of --${flag}; add one`);
  }
  return sample;
}

function secretFile(): string {
  const file = path.join(folder, 'secret');
  fs.writeFileSync(file, `${'0123456789abcdef'.repeat(2)}\n`, { mode: 0o600 });
  return file;
}

const SAMPLE_PORTS: Readonly<Record<string, number>> = {
  listen: 8_080,
  'operator-listen': 8_081,
  'peer-listen': 8_082,
};
