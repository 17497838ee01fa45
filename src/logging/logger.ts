import * as util from 'node:util';
import debug from 'debug';
import type * as boundedOutput from './bounded-output';

/** Fields that a log line may carry. Prompt text, answers and credentials are never logged. */
export interface LogFields {
  readonly requestId?: string;
  readonly team?: string;
  readonly service?: string;
  readonly backendServer?: string;
  readonly verdict?: string;
  readonly reason?: string;
  readonly revision?: number;
  readonly durationMilliseconds?: number;
  readonly [field: string]: string | number | boolean | undefined;
}

export enum LogLevel {
  Error = 'error',
  Warning = 'warning',
  Information = 'information',
  Debug = 'debug',
}

/** Writes JSON lines for one component under the `debug` namespace `figline:<component>:<level>`. */
export class Logger {
  constructor(private readonly component: string) {}

  /**
   * Reports a failure that an operator has to handle.
   *
   * @example
   * logger.error('log file could not be synced', { reason: error.code });
   */
  error(message: string, fields: LogFields = {}): void {
    this.write(LogLevel.Error, message, fields);
  }

  /** Reports an unusual event that figline handled itself. */
  warning(message: string, fields: LogFields = {}): void {
    this.write(LogLevel.Warning, message, fields);
  }

  /** Reports normal operation. */
  information(message: string, fields: LogFields = {}): void {
    this.write(LogLevel.Information, message, fields);
  }

  /** Reports details that are off by default. */
  debug(message: string, fields: LogFields = {}): void {
    this.write(LogLevel.Debug, message, fields);
  }

  private write(level: LogLevel, message: string, fields: LogFields): void {
    const channel = channelFor(`figline:${this.component}:${level}`);
    if (!channel.enabled) {
      return;
    }
    const line = { time: new Date().toISOString(), level, component: this.component, message };
    const text = JSON.stringify({ ...line, ...fields });
    if (output === undefined) {
      channel(text);
    } else {
      output.write(text, level === LogLevel.Error);
    }
  }
}

/**
 * Enables all levels down to `level` for every component.
 *
 * @example
 * enable(LogLevel.Information);
 */
export function enable(level: LogLevel): void {
  const last = LEVELS.indexOf(level);
  const enabled = LEVELS.slice(0, last + 1).map((name) => `figline:*:${name}`);
  debug.enable(enabled.join(','));
}

/**
 * Writes all lines to a bounded output instead of standard error.
 *
 * @example
 * useOutput(new BoundedOutput(standardOutput(), Date.now));
 */
export function useOutput(target: boundedOutput.BoundedOutput | undefined): void {
  output = target;
}

let output: boundedOutput.BoundedOutput | undefined;

const LEVELS = [LogLevel.Error, LogLevel.Warning, LogLevel.Information, LogLevel.Debug];

const channels = new Map<string, debug.Debugger>();

/** Removes the colours, names and time differences that `debug` adds to a line. */
function channelFor(namespace: string): debug.Debugger {
  const existing = channels.get(namespace);
  if (existing !== undefined) {
    return existing;
  }
  const channel = debug(namespace);
  channel.log = (...parts: unknown[]) => {
    const text = util.format(...parts);
    process.stderr.write(`${text.slice(text.indexOf('{'), text.lastIndexOf('}') + 1)}\n`);
  };
  channels.set(namespace, channel);
  return channel;
}
