import type * as results from 'ts-results';

/** Section of the help text that lists a setting. */
export enum SettingGroup {
  Identity = 'Identity',
  Listeners = 'Listeners',
  ControlState = 'Control state',
  Secrets = 'Secrets',
  Platform = 'Platform',
  Observation = 'Observation',
  Limits = 'Limits',
}

/** One setting: a flag, an environment variable of the same name, and the parser of its text. */
export interface SettingDefinition<Value> {
  /** Without the leading hyphens, for example `daemon-id`. */
  readonly flag: string;
  readonly group: SettingGroup;
  /** Stands for the value in the help text. */
  readonly placeholder: string;
  readonly description: string;
  /** Default value as text; undefined for a setting without a default. */
  readonly fallback?: string;
  /** What happens when the setting is not set. */
  readonly absence: Absence;
  /** Parses the text; `Err` says in one sentence which text is valid. */
  readonly parse: (text: string) => results.Result<Value, string>;
}

export enum Absence {
  /** It is reported as a fault. */
  Fault = 'fault',
  /** The value is undefined. */
  Undefined = 'undefined',
  /** The value is the default. */
  Fallback = 'fallback',
}

/**
 * The environment variable that corresponds to a flag.
 *
 * @example
 * variableOf('daemon-id'); // 'FIGLINE_DAEMON_ID'
 */
export function variableOf(flag: string): string {
  return `${VARIABLE_PREFIX}${flag.toUpperCase().replaceAll('-', '_')}`;
}

/** Prefix of every environment variable that figline reads. */
export const VARIABLE_PREFIX = 'FIGLINE_';
