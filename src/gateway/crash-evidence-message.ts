import * as zod from 'zod';
import type * as health from '../health';

/** Crashes and safe begins, with times in milliseconds of one clock. */
export interface EvidenceReport {
  readonly crashes: readonly health.CrashReport[];
  readonly safeBegins: readonly health.SafeBegin[];
}

export enum EvidenceSender {
  /** What one daemon has seen. */
  Daemon = 'daemon',
  /** The leader's sum of all daemons. */
  Leader = 'leader',
}

const MAXIMUM_CRASHES = 256;
const MAXIMUM_CAUSES = 1_024;

const age = zod.number().min(0).max(3_600_000);
const cause = zod.string().min(1).max(300);

/** Daemons have no common clock, so that messages contain ages. */
const schema = zod.object({
  from: zod.enum(EvidenceSender),
  crashes: zod
    .array(zod.tuple([zod.string().min(1).max(256), age, zod.array(cause).max(MAXIMUM_CAUSES)]))
    .max(MAXIMUM_CRASHES),
  safeBegins: zod.array(zod.tuple([cause, age])).max(MAXIMUM_CAUSES),
});

/** The message about a report at the given monotonic time in milliseconds; the newest entries, if there are too many. */
export function encode(from: EvidenceSender, report: EvidenceReport, now: number): object {
  const ageOf = (at: number) => Math.max(0, Math.round(now - at));
  return {
    from,
    crashes: report.crashes
      .slice(-MAXIMUM_CRASHES)
      .map(({ serverId, at, causes }) => [serverId, ageOf(at), causes.slice(0, MAXIMUM_CAUSES)]),
    safeBegins: report.safeBegins
      .slice(-MAXIMUM_CAUSES)
      .map((safeBegin) => [safeBegin.cause, ageOf(safeBegin.at)]),
  };
}

/** The sender and the report of a message; `undefined` if it is malformed. */
export function decode(
  payload: unknown,
  now: number,
): { readonly from: EvidenceSender; readonly report: EvidenceReport } | undefined {
  const parsed = schema.safeParse(payload);
  if (!parsed.success) {
    return undefined;
  }
  const { from, crashes, safeBegins } = parsed.data;
  return {
    from,
    report: {
      crashes: crashes.map(([serverId, milliseconds, causes]) => ({
        serverId,
        at: now - milliseconds,
        causes,
      })),
      safeBegins: safeBegins.map(([begun, milliseconds]) => ({
        cause: begun,
        at: now - milliseconds,
      })),
    },
  };
}
