import * as logging from '../../src/logging';

/** Runs `work` and returns the log lines with the given message that it wrote, as objects. */
export async function linesOf(
  message: string,
  work: () => void | Promise<void>,
): Promise<readonly Record<string, unknown>[]> {
  const written: string[] = [];
  const target = { writableLength: 0, write: (line: string) => written.push(line) > 0 };
  const limits = { linesPerSecond: Infinity, waitingBytes: Infinity };
  logging.useOutput(new logging.BoundedOutput(target, Date.now, limits));
  logging.enable(logging.LogLevel.Information);
  try {
    await work();
  } finally {
    logging.useOutput(undefined);
    logging.enable(logging.LogLevel.Error);
  }
  return written.map((line) => JSON.parse(line)).filter((line) => line.message === message);
}
