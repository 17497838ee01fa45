import * as fs from 'node:fs';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';

const suite = uvu.suite('backend servers page');
const page = fs.readFileSync('docs/BACKENDS.md', 'utf8');

suite('every header, kind and phase of the contract is described', () => {
  const names = [
    ...Object.values(backend.HeaderName),
    ...Object.values(backend.BackendKind),
    ...Object.values(backend.MachinePhase),
    ...Object.values(backend.OrderKind),
    ...Object.values(backend.CacheEventKind),
  ];
  const missing = names.filter((name) => !page.includes(`\`${name}`));
  assert.equal(missing, []);
});

suite('the limits on the page are those of the program', () => {
  const limits = backend.DEFAULT_LIMITS;
  const rows = [
    `| time to connect | ${limits.connectMilliseconds / 1_000} s |`,
    `| silence of an engine (no whole comment or event) | ${limits.silenceMilliseconds / 1_000} s |`,
    `| bytes of an answer besides its body | ${limits.maximumFramingBytes / 1_024} KiB,`,
    `| headers of an answer | ${limits.maximumHeaderBytes / 1_024} KiB |`,
    `| one event of a stream | ${limits.maximumEventBytes / 1_024 ** 2} MiB |`,
    `| whole answer of a plain service | ${limits.maximumAnswerBytes / 1_024 ** 2} MiB |`,
  ];
  const squeezed = page.replace(/ +/g, ' ');
  rows.forEach((row) => assert.ok(squeezed.includes(row), row));
});

suite.run();
