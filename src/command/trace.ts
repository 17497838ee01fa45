import * as fs from 'node:fs/promises';
import * as exitCode from './exit-code';
import * as outcome from './outcome';

/** A log line with the id of the request. */
interface LogLine {
  readonly time: string;
  readonly file: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Prints the history of one request from the logs of several processes, oldest line first.
 *
 * @param requestId as the caller sent it
 * @param files logs with one JSON object per line; text before the object on a line is ignored
 * @example
 * await trace('9c41d07be2a35f68', ['front-1.log', 'front-2.log']);
 */
export async function trace(requestId: string, files: readonly string[]): Promise<outcome.Outcome> {
  const lines: LogLine[] = [];
  for (const file of files) {
    try {
      lines.push(...linesOf(await fs.readFile(file, 'utf8'), file, requestId));
    } catch (error) {
      const reason = (error as Error).message;
      return outcome.failure(exitCode.ExitCode.Usage, [`${file} cannot be read: ${reason}`]);
    }
  }
  lines.sort((left, right) => left.time.localeCompare(right.time));
  return lines.length === 0
    ? outcome.failure(exitCode.ExitCode.Refused, [`no line is about request ${requestId}`])
    : outcome.success(lines.map(describe), { lines: lines.map(({ fields }) => fields) });
}

function linesOf(text: string, file: string, requestId: string): LogLine[] {
  return text
    .split('\n')
    .filter((line) => line.includes(requestId))
    .flatMap((line) => {
      const fields = parse(line.slice(line.indexOf('{')));
      return fields?.requestId === requestId ? [{ time: String(fields.time), file, fields }] : [];
    });
}

function parse(text: string): Readonly<Record<string, unknown>> | undefined {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function describe({ time, file, fields }: LogLine): string {
  const details = Object.entries(fields)
    .filter(([name]) => !OMITTED_DETAILS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return [time, file, String(fields.message), ...details].join('  ');
}

/** Fields that are printed first or are not repeated. */
const OMITTED_DETAILS = new Set(['time', 'level', 'component', 'message', 'requestId']);
