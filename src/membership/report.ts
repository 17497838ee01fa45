import * as zod from 'zod';

/** What daemons tell each other about backend servers. */
export enum ReportKind {
  Leaving = 'leaving',
  Suspected = 'suspected',
}

/** A report as it travels between daemons; checked on arrival. */
export const reportSchema = zod.strictObject({
  kind: zod.enum(ReportKind),
  serverId: zod.string().min(1).max(256),
  incarnation: zod.string().max(256).optional(),
});

/** One daemon's observation of one backend server. */
export type MembershipReport = zod.infer<typeof reportSchema>;

/**
 * Reads a peer's payload; `undefined` when it is not a report.
 *
 * @example
 * parseReport({ kind: 'leaving', serverId: 'desk-1', incarnation: 'a' });
 */
export function parseReport(payload: unknown): MembershipReport | undefined {
  const parsed = reportSchema.safeParse(payload);
  return parsed.success ? parsed.data : undefined;
}
