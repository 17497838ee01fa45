import * as zod from 'zod';

/** Kinds of reports about backend servers between daemons. */
export enum ReportKind {
  Leaving = 'leaving',
  Suspected = 'suspected',
}

/** The schema of a report between daemons; checked when a report arrives. */
export const reportSchema = zod.strictObject({
  kind: zod.enum(ReportKind),
  serverId: zod.string().min(1).max(256),
  incarnation: zod.string().max(256).optional(),
});

/** One daemon's observation of one backend server. */
export type MembershipReport = zod.infer<typeof reportSchema>;

/**
 * Parses the payload of a peer; `undefined` when it is not a report.
 *
 * @example
 * parseReport({ kind: 'leaving', serverId: 'desk-1', incarnation: 'a' });
 */
export function parseReport(payload: unknown): MembershipReport | undefined {
  const parsed = reportSchema.safeParse(payload);
  return parsed.success ? parsed.data : undefined;
}
