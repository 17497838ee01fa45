import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as command from '../../src/command';
import * as immediateClock from './immediate-clock';

const suite = uvu.suite('trace');

async function figline(...commandArguments: string[]) {
  let output = '';
  const code = await command.run(commandArguments, {
    environment: {},
    time: new immediateClock.ImmediateClock(),
    writeOutput: (text) => {
      output += text;
    },
    writeError: () => {},
  });
  return { code, output };
}

function logFile(folder: string, name: string, lines: readonly string[]): string {
  const file = path.join(folder, name);
  fs.writeFileSync(file, lines.join('\n'));
  return file;
}

suite('lines of several processes are merged in order; other requests are left out', async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'figline-trace-'));
  const line = (time: string, requestId: string, message: string) =>
    JSON.stringify({ time, level: 'information', component: 'caller', message, requestId });
  const first = logFile(folder, 'a.log', [
    `  0.1 front-1 ${line('2026-01-01T00:00:02.000Z', 'r-1', 'request ended')}`,
    line('2026-01-01T00:00:01.500Z', 'r-2', 'request r-1 is another'),
    'not a line of a log with r-1',
  ]);
  const second = logFile(folder, 'b.log', [
    line('2026-01-01T00:00:01.000Z', 'r-1', 'request dispatched'),
  ]);
  const { code, output } = await figline('trace', 'r-1', first, second);
  fs.rmSync(folder, { recursive: true });
  assert.is(code, command.ExitCode.Success);
  assert.equal(
    output
      .trim()
      .split('\n')
      .map((text) => text.split('  ')[2]),
    ['request dispatched', 'request ended'],
  );
});

suite('a request without lines and a missing file are reported', async () => {
  assert.is((await figline('trace', 'r-1', '/nowhere/a.log')).code, command.ExitCode.Usage);
});

suite.run();
