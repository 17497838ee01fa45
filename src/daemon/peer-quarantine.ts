import * as zod from 'zod';
import * as control from '../control';
import * as decision from '../decision';
import * as logging from '../logging';
import * as routing from '../routing';

/** A crash report in a message between daemons; validated on receipt. */
const reportSchema = zod.strictObject({
  crashId: zod.string().min(1).max(256),
  serverId: zod.string().min(1).max(256),
  fingerprints: zod.array(zod.string().min(1).max(128)).max(10_000),
});

/**
 * Sends the peers the fingerprints of the requests that were in flight when a server crashed. Callers of this daemon name no
 * prompt parts, so that there are no causes but whole requests.
 */
export function broadcastCrashReport(
  plane: control.ControlPlane,
  report: decision.ReportCrash | decision.ReportSafeBegin,
): void {
  if (report.kind === decision.DecisionEffectKind.ReportSafeBegin) {
    return;
  }
  const { crashId, serverId, fingerprints } = report;
  plane.broadcast(control.PeerTopic.Quarantine, { crashId, serverId, fingerprints });
}

/** Passes the crash reports of peers to the decision task; returns a function that unsubscribes. */
export function subscribeToCrashReports(
  plane: control.ControlPlane,
  task: Pick<routing.DecisionTask, 'feed' | 'now'>,
): () => void {
  return plane.onBroadcast(control.PeerTopic.Quarantine, (payload) => {
    const parsed = reportSchema.safeParse(payload);
    if (!parsed.success) {
      logger.warning('peer sent a malformed crash report; ignoring it');
      return;
    }
    const kind = decision.DecisionEventKind.QuarantineReported;
    task.feed({ kind, at: task.now(), ...parsed.data });
  });
}

const logger = new logging.Logger('quarantine');
