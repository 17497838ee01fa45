import * as util from 'node:util';
import * as results from 'ts-results';
import * as suggestion from '../suggestion';
import * as address from './address';
import * as definition from './definition';
import * as table from './table';

/** A fault in the settings. */
export interface SettingFault {
  /** The flag or variable as it was set, or the flag of a missing setting. */
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
      // A flag without a value is reported already, so that its missing setting is not reported as well.
      faults.push(outcome.val);
    }
  });
  const validSettings: Partial<table.Settings> = Object.fromEntries(values);
  faults.push(...replicaFaults(validSettings), ...sharedListeners(validSettings));
  return faults.length > 0 ? results.Err(faults) : results.Ok(validSettings as table.Settings);
}

/**
 * Formats the faults as one message, one line each.
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

/** Whether the command line requests help, which needs no valid settings. */
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

/** Variables that the `figline` command reads and that may also be set on the VM of a daemon. */
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

interface ParsedFlags {
  readonly values: ReadonlyMap<string, string>;
  readonly faults: SettingFault[];
}

function groupLines(group: definition.SettingGroup): string[] {
  return table.DEFINITIONS.filter((entry) => entry.group === group).map((entry) => {
    const left = `  --${entry.flag} ${entry.placeholder}`;
    const separator = left.length < HELP_COLUMN ? '' : `\n${' '.repeat(HELP_COLUMN)}`;
    return `${left.padEnd(HELP_COLUMN)}${separator}${entry.description}${defaultNote(entry)}\n`;
  });
}

function defaultNote(entry: definition.SettingDefinition<unknown>): string {
  switch (entry.absence) {
    case definition.Absence.Fault:
      return ' (required)';
    case definition.Absence.Undefined:
      return ' (optional)';
    default:
      return ` (default ${entry.fallback})`;
  }
}

function readFlags(commandArguments: readonly string[]): ParsedFlags {
  const definedFlags = table.DEFINITIONS.map((entry) => entry.flag);
  const options = Object.fromEntries(
    definedFlags.map((flag) => [flag, { type: 'string' as const }]),
  );
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
      if (!followsUnknownFlag(tokens[index - 1], definedFlags)) {
        faults.push({ source: token.value, message: 'is not a flag; write --FLAG VALUE' });
      }
    } else if (token.kind === 'option') {
      const message = flagFault(token, definedFlags, values);
      if (message === undefined) {
        values.set(token.name, token.value as string);
      } else {
        faults.push({ source: token.rawName, message });
      }
    }
  });
  return { values, faults };
}

/** `parseArgs` reports the word after an unknown flag as a positional argument, which would be a second fault. */
function followsUnknownFlag(
  previous: ParsedToken | undefined,
  definedFlags: readonly string[],
): boolean {
  return (
    previous?.kind === 'option' &&
    previous.value === undefined &&
    !definedFlags.includes(previous.name ?? '')
  );
}

function flagFault(
  token: { readonly name: string; readonly value?: string },
  definedFlags: readonly string[],
  values: ReadonlyMap<string, string>,
): string | undefined {
  if (!definedFlags.includes(token.name)) {
    const nearest = suggestion.nearestName(token.name, definedFlags);
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
  const definedNames = [
    ...table.DEFINITIONS.map((entry) => definition.variableOf(entry.flag)),
    ...Object.values<string>(CommandVariable),
  ].map((name) => name.slice(definition.VARIABLE_PREFIX.length));
  return Object.keys(environment)
    .filter(
      (name) =>
        name.startsWith(definition.VARIABLE_PREFIX) &&
        !definedNames.includes(name.slice(definition.VARIABLE_PREFIX.length)),
    )
    .map((name) => {
      const nearest = suggestion.nearestName(
        name.slice(definition.VARIABLE_PREFIX.length),
        definedNames,
      );
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

/** Faults of settings that contradict each other; settings that are invalid by themselves are absent here. */
function replicaFaults(validSettings: Partial<table.Settings>): SettingFault[] {
  if (validSettings.replicas === undefined || validSettings.peerListen === undefined) {
    return [];
  }
  const peers = (validSettings.peers ?? []).map(address.formatAddress);
  const own = address.formatAddress(validSettings.peerListen);
  const replicas = validSettings.replicas.map(address.formatAddress);
  const faults = replicas
    .filter((replica) => replica !== own && !peers.includes(replica))
    .map((replica) => ({ source: '--replicas', message: `${replica} is not in --peers` }));
  if (replicas.includes(own) && validSettings.dataFolder === undefined) {
    const message = `contains ${own}, the address of this daemon, which has no --data-folder`;
    faults.push({ source: '--replicas', message });
  }
  return faults;
}

function sharedListeners(validSettings: Partial<table.Settings>): SettingFault[] {
  const listeners = [
    { source: '--listen', value: validSettings.listen },
    { source: '--operator-listen', value: validSettings.operatorListen },
    { source: '--peer-listen', value: validSettings.peerListen },
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
