/** A problem in a configuration file. */
export interface ConfigurationProblem {
  /** Path of the file, relative to the folder that was collected. */
  readonly file: string;
  /** Counted from 1. */
  readonly line: number;
  /** Counted from 1. */
  readonly column: number;
  /** What is wrong and what would be right. */
  readonly message: string;
}

/**
 * Formats a problem as one line that editors and terminals show as a link.
 *
 * @example
 * formatProblem({ file: 'a.figline.yaml', line: 3, column: 1, message: 'model is missing' });
 * // 'a.figline.yaml:3:1: model is missing'
 */
export function formatProblem(problem: ConfigurationProblem): string {
  return `${problem.file}:${problem.line}:${problem.column}: ${problem.message}`;
}

/** Orders problems by file, then by position. */
export function compareProblems(left: ConfigurationProblem, right: ConfigurationProblem): number {
  if (left.file !== right.file) {
    return left.file < right.file ? -1 : 1;
  }
  return left.line - right.line || left.column - right.column;
}
