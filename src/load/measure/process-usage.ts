import * as fs from 'node:fs';

/** CPU time and memory of a process since its start. */
export interface ProcessUsage {
  readonly cpuMilliseconds: number;
  readonly residentBytes: number;
  /** Voluntary context switches of the main thread. */
  readonly wakeUps: number;
}

/**
 * Reads the usage of a process from `/proc` (Linux). The scheduler's statistics are in nanoseconds, whereas
 * `/proc/<pid>/stat` counts 10 ms ticks, which is too coarse for an idle daemon.
 */
export function readUsage(pid: number): ProcessUsage {
  const tasks = fs
    .readdirSync(`/proc/${pid}/task`)
    .map((task) => fs.readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8'));
  return parseUsage(tasks, fs.readFileSync(`/proc/${pid}/status`, 'utf8'));
}

/** Sums the `schedstat` of all threads and reads the resident memory from `status`. */
export function parseUsage(threads: readonly string[], status: string): ProcessUsage {
  const nanoseconds = threads.reduce((sum, text) => sum + Number(text.split(' ')[0]), 0);
  const kibibytes = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1]);
  const wakeUps = Number(/^voluntary_ctxt_switches:\s+(\d+)$/m.exec(status)?.[1]);
  return {
    cpuMilliseconds: nanoseconds / NANOSECONDS_PER_MILLISECOND,
    residentBytes: kibibytes * BYTES_PER_KIBIBYTE,
    wakeUps,
  };
}

const NANOSECONDS_PER_MILLISECOND = 1_000_000;
const BYTES_PER_KIBIBYTE = 1_024;
