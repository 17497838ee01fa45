import type * as results from 'ts-results';

/** Part of the help text under which a setting is listed. */
export enum SettingGroup {
  Identity = 'Identity',
  Listeners = 'Listeners',
  ControlState = 'Control state',
  Secrets = 'Secrets',
  Platform = 'Platform',
  Observation = 'Observation',
  Limits = 'Limits',
}

/** One setting: a flag and an environment variable of the same name, and how its text is read. */
export interface SettingDefinition<Value> {
  /** Without the leading hyphens, for example `daemon-id`. */
  readonly flag: string;
  readonly group: SettingGroup;
  /** Stands for the value in the help text. */
  readonly placeholder: string;
  readonly description: string;
  /** Text that is read when the setting is not given; undefined for a setting without a default. */
  readonly fallback?: string;
  /** What results when the setting is not given and has no default. */
  readonly absence: Absence;
  /** `Err` says in one sentence what would be right. */
  readonly parse: (text: string) => results.Result<Value, string>;
}

export enum Absence {
  /** Reported as a fault. */
  Fault = 'fault',
  /** The value is undefined. */
  Undefined = 'undefined',
  /** The default is read. */
  Fallback = 'fallback',
}

/**
 * The environment variable of a flag.
 *
 * @example
 * variableOf('daemon-id'); // 'FIGLINE_DAEMON_ID'
 */
export function variableOf(flag: string): string {
  return `${VARIABLE_PREFIX}${flag.toUpperCase().replaceAll('-', '_')}`;
}

/** Begins every environment variable that figline reads. */
export const VARIABLE_PREFIX = 'FIGLINE_';
