import * as util from 'node:util';
import * as results from 'ts-results';
import * as suggestion from '../suggestion';
import * as address from './address';
import * as definition from './definition';
import * as table from './table';

/** One thing that is wrong with the settings. */
export interface SettingFault {
  /** The flag or variable as it was given, or the flag of a missing setting. */
  readonly source: string;
  /** What is wrong and what would be right. */
  readonly message: string;
}

/**
 * Reads all settings. A flag takes precedence over its environment variable, and a variable over the
 * default. `Err` lists every fault at once, so that one start is enough to find them all.
 *
 * @example
 * const outcome = load(process.argv.slice(2), process.env);
 * if (outcome.err) process.stderr.write(formatFaults(outcome.val));
 */
export function load(
  commandArguments: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): results.Result<table.Settings, readonly SettingFault[]> {
  const flags = readFlags(commandArguments);
  const faults = [...flags.faults, ...unknownVariables(environment)];
  const values: [string, unknown][] = [];
  Object.entries(table.SETTING_TABLE).forEach(([name, entry]) => {
    const outcome = readOne(entry, flags.values, environment);
    if (outcome.ok) {
      values.push([name, outcome.val]);
    } else if (!faults.some((fault) => fault.source === outcome.val.source)) {
      // A flag without a value is a fault already; that its setting is missing adds nothing.
      faults.push(outcome.val);
    }
  });
  const known: Partial<table.Settings> = Object.fromEntries(values);
  faults.push(...replicaFaults(known), ...sharedListeners(known));
  return faults.length > 0 ? results.Err(faults) : results.Ok(known as table.Settings);
}

/**
 * The faults as one message, one line each.
 *
 * @example
 * formatFaults([{ source: '--zone', message: 'is missing' }]);
 * // 'figlined: 1 fault in the settings:\n  --zone: is missing\nRun figlined --help …\n'
 */
export function formatFaults(faults: readonly SettingFault[]): string {
  const noun = faults.length === 1 ? 'fault' : 'faults';
  const lines = faults.map((fault) => `  ${fault.source}: ${fault.message}\n`);
  return (
    `figlined: ${faults.length} ${noun} in the settings:\n${lines.join('')}` +
    'Run figlined --help for a list of all settings.\n'
  );
}

/** Whether the command line asks for help, which needs no valid settings. */
export function isHelpRequested(commandArguments: readonly string[]): boolean {
  return commandArguments.includes('--help') || commandArguments.includes('-h');
}

/** The text that `figlined --help` prints. */
export function helpText(): string {
  const groups = Object.values(definition.SettingGroup).map(
    (group) => `${group}:\n${groupLines(group).join('')}`,
  );
  return (
    'Usage: figlined --daemon-id NAME --zone NAME ... [--help]\n\n' +
    'Each flag can also be given as an environment variable: --daemon-id as FIGLINE_DAEMON_ID.\n' +
    'A flag takes precedence over its variable.\n\n' +
    `${groups.join('\n')}\n` +
    'Exit codes: 0 after a graceful shutdown, 1 when the daemon failed, 2 when a setting is wrong.\n'
  );
}

/** Variables that the `figline` command reads, and that may be set on a daemon's VM too. */
export enum CommandVariable {
  OperatorUrl = 'FIGLINE_OPERATOR_URL',
  Author = 'FIGLINE_AUTHOR',
}

const HELP_COLUMN = 34;

interface ParsedToken {
  readonly kind: string;
  readonly name?: string;
  readonly value?: string;
}

interface GivenFlags {
  readonly values: ReadonlyMap<string, string>;
  readonly faults: SettingFault[];
}

function groupLines(group: definition.SettingGroup): string[] {
  return table.DEFINITIONS.filter((entry) => entry.group === group).map((entry) => {
    const left = `  --${entry.flag} ${entry.placeholder}`;
    const separator = left.length < HELP_COLUMN ? '' : `\n${' '.repeat(HELP_COLUMN)}`;
    return `${left.padEnd(HELP_COLUMN)}${separator}${entry.description}${absenceNote(entry)}\n`;
  });
}

function absenceNote(entry: definition.SettingDefinition<unknown>): string {
  switch (entry.absence) {
    case definition.Absence.Fault:
      return ' (required)';
    case definition.Absence.Undefined:
      return ' (optional)';
    default:
      return ` (default ${entry.fallback})`;
  }
}

function readFlags(commandArguments: readonly string[]): GivenFlags {
  const known = table.DEFINITIONS.map((entry) => entry.flag);
  const options = Object.fromEntries(known.map((flag) => [flag, { type: 'string' as const }]));
  const { tokens } = util.parseArgs({
    args: [...commandArguments],
    options,
    strict: false,
    allowPositionals: true,
    tokens: true,
  });
  const values = new Map<string, string>();
  const faults: SettingFault[] = [];
  tokens.forEach((token, index) => {
    if (token.kind === 'positional') {
      if (!isValueOfUnknownFlag(tokens[index - 1], known)) {
        faults.push({ source: token.value, message: 'is not a flag; write --FLAG VALUE' });
      }
    } else if (token.kind === 'option') {
      const message = flagFault(token, known, values);
      if (message === undefined) {
        values.set(token.name, token.value as string);
      } else {
        faults.push({ source: token.rawName, message });
      }
    }
  });
  return { values, faults };
}

/** The parser takes the word after an unknown flag for an argument, which would be a second fault. */
function isValueOfUnknownFlag(before: ParsedToken | undefined, known: readonly string[]): boolean {
  return (
    before?.kind === 'option' && before.value === undefined && !known.includes(before.name ?? '')
  );
}

function flagFault(
  token: { readonly name: string; readonly value?: string },
  known: readonly string[],
  values: ReadonlyMap<string, string>,
): string | undefined {
  if (!known.includes(token.name)) {
    const nearest = suggestion.nearestName(token.name, known);
    const hint = nearest === undefined ? 'run figlined --help' : `did you mean --${nearest}?`;
    return `unknown flag; ${hint}`;
  }
  if (token.value === undefined || token.value === '' || token.value.startsWith('--')) {
    return 'a value is missing';
  }
  return values.has(token.name) ? 'is given more than once' : undefined;
}

function unknownVariables(
  environment: Readonly<Record<string, string | undefined>>,
): SettingFault[] {
  const known = [
    ...table.DEFINITIONS.map((entry) => definition.variableOf(entry.flag)),
    ...Object.values<string>(CommandVariable),
  ].map((name) => name.slice(definition.VARIABLE_PREFIX.length));
  return Object.keys(environment)
    .filter(
      (name) =>
        name.startsWith(definition.VARIABLE_PREFIX) &&
        !known.includes(name.slice(definition.VARIABLE_PREFIX.length)),
    )
    .map((name) => {
      const nearest = suggestion.nearestName(name.slice(definition.VARIABLE_PREFIX.length), known);
      const hint =
        nearest === undefined
          ? 'run figlined --help'
          : `did you mean ${definition.VARIABLE_PREFIX}${nearest}?`;
      return { source: name, message: `unknown environment variable; ${hint}` };
    });
}

function readOne(
  entry: definition.SettingDefinition<unknown>,
  flags: ReadonlyMap<string, string>,
  environment: Readonly<Record<string, string | undefined>>,
): results.Result<unknown, SettingFault> {
  const variable = definition.variableOf(entry.flag);
  const flagValue = flags.get(entry.flag);
  const variableValue = environment[variable] === '' ? undefined : environment[variable];
  const text = flagValue ?? variableValue ?? entry.fallback;
  if (text === undefined) {
    return entry.absence === definition.Absence.Undefined
      ? results.Ok(undefined)
      : results.Err({ source: `--${entry.flag}`, message: `is missing; set it or ${variable}` });
  }
  const source = flagValue === undefined ? variable : `--${entry.flag}`;
  return entry.parse(text).mapErr((message) => ({ source, message }));
}

/** Faults that only several settings together show; settings that are wrong by themselves are absent. */
function replicaFaults(known: Partial<table.Settings>): SettingFault[] {
  if (known.replicas === undefined || known.peerListen === undefined) {
    return [];
  }
  const peers = (known.peers ?? []).map(address.formatAddress);
  const own = address.formatAddress(known.peerListen);
  const replicas = known.replicas.map(address.formatAddress);
  const faults = replicas
    .filter((replica) => replica !== own && !peers.includes(replica))
    .map((replica) => ({ source: '--replicas', message: `${replica} is not in --peers` }));
  if (replicas.includes(own) && known.dataFolder === undefined) {
    const message = `contains ${own}, the address of this daemon, which has no --data-folder`;
    faults.push({ source: '--replicas', message });
  }
  return faults;
}

function sharedListeners(known: Partial<table.Settings>): SettingFault[] {
  const listeners = [
    { source: '--listen', value: known.listen },
    { source: '--operator-listen', value: known.operatorListen },
    { source: '--peer-listen', value: known.peerListen },
  ].flatMap(({ source, value }) =>
    value === undefined || value.port === 0 ? [] : [{ source, text: address.formatAddress(value) }],
  );
  return listeners.flatMap((listener, index) => {
    const earlier = listeners.slice(0, index).find((other) => other.text === listener.text);
    return earlier === undefined
      ? []
      : [{ source: listener.source, message: `is the same address as ${earlier.source}` }];
  });
}
