import * as fs from 'node:fs';
import * as path from 'node:path';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as command from '../../src/command';
import * as configuration from '../../src/configuration';
import * as settings from '../../src/settings';
import * as verdict from '../../src/verdict';

const suite = uvu.suite('operations page');
const page = fs.readFileSync('docs/OPERATIONS.md', 'utf8');

/** Rows of the table between the comments `<!-- name: … -->` and `<!-- end of name -->`. */
function rowsOf(name: string): string[] {
  const start = page.indexOf(`<!-- ${name}: `);
  const end = page.indexOf(`<!-- end of ${name} -->`);
  assert.ok(start !== -1 && end > start, `${name} has its comments`);
  const lines = page.slice(start, end).split('\n');
  return lines.filter((line) => line.startsWith('|')).slice(2);
}

function cells(row: string): string[] {
  return row
    .split(/(?<!\\)\|/)
    .slice(1, -1)
    .map((cell) => cell.trim());
}

function settingRow(entry: settings.SettingDefinition<unknown>): string {
  const defaults = {
    [settings.Absence.Fault]: 'required',
    [settings.Absence.Undefined]: 'none',
    [settings.Absence.Fallback]: `\`${entry.fallback}\``,
  };
  const columns = [
    `\`--${entry.flag}\``,
    `\`${settings.variableOf(entry.flag)}\``,
    `\`${entry.placeholder.replaceAll('|', '\\|')}\``,
    defaults[entry.absence],
    entry.description,
  ];
  return `| ${columns.join(' | ')} |`;
}

suite('the table of settings is the one of the program', () => {
  assert.is(rowsOf('settings').join('\n'), settings.DEFINITIONS.map(settingRow).join('\n'));
});

suite('the table of exit codes is the one of the program', () => {
  const expected = Object.entries(command.EXIT_CODE_MEANINGS).map(
    ([code, meaning]) => `| ${code} | ${meaning} |`,
  );
  assert.is(rowsOf('exit codes').join('\n'), expected.join('\n'));
});

suite('every failure of callers and operators is explained with its status', () => {
  const failures = rowsOf('failures').map((row) => cells(row).slice(0, 2).join(' '));
  const reasons = Object.values(verdict.FailureReason);
  assert.equal(
    failures,
    reasons.map((reason) => `\`${reason}\` ${verdict.httpStatus(reason)}`),
  );
  const errors = rowsOf('operator errors').map((row) => cells(row).slice(0, 2).join(' '));
  const codes = Object.entries(command.ERROR_STATUS);
  assert.equal(
    errors,
    codes.map(([code, status]) => `\`${code}\` ${status}`),
  );
});

suite('the examples are valid configurations', () => {
  const sites = fs.readdirSync('examples', { withFileTypes: true });
  const folders = sites.filter((entry) => entry.isDirectory());
  assert.is(folders.length, 2);
  folders.forEach((folder) => {
    const { problems } = configuration.collect(path.join('examples', folder.name));
    assert.equal(problems.map(configuration.formatProblem), []);
  });
});

suite.run();
