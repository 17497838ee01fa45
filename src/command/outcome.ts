import * as exitCode from './exit-code';

/** Result of a command. */
export interface Outcome {
  readonly exitCode: exitCode.ExitCode;
  /** Lines for standard output. */
  readonly lines: readonly string[];
  /** Lines for standard error: what went wrong, and warnings. */
  readonly errors: readonly string[];
  /** Printed instead of the lines with `--json`, together with exit code and errors. */
  readonly data: Readonly<Record<string, unknown>>;
}

/** An outcome without errors. */
export function success(
  lines: readonly string[],
  data: Readonly<Record<string, unknown>>,
  code = exitCode.ExitCode.Success,
): Outcome {
  return { exitCode: code, lines, errors: [], data };
}

/** The outcome of a command that failed. */
export function failure(
  code: exitCode.ExitCode,
  errors: readonly string[],
  data: Readonly<Record<string, unknown>> = {},
): Outcome {
  return { exitCode: code, lines: [], errors, data };
}

/**
 * Aligns rows in columns below a header.
 *
 * @example
 * table(['TEAM', 'SHARE'], [['market-roasters', '2']]); // ['TEAM             SHARE', 'market-roasters  2']
 */
export function table(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): readonly string[] {
  const all = [header, ...rows];
  const widths = header.map((_, column) => Math.max(...all.map((row) => row[column].length)));
  return all.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column]))
      .join('  ')
      .trimEnd(),
  );
}
