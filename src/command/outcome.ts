import * as exitCode from './exit-code';

/** What a command tells the operator. */
export interface Outcome {
  readonly exitCode: exitCode.ExitCode;
  /** Lines for standard output. */
  readonly lines: readonly string[];
  /** Lines for standard error: what went wrong, and warnings. */
  readonly errors: readonly string[];
  /** Printed instead of the lines when `--json` is given, together with exit code and errors. */
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

/** An outcome that explains why the command did not do its work. */
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
