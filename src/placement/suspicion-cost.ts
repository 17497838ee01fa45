import * as costRule from './cost-rule';

/** Keeps work from servers that may be dead, failed this request, or run a request that may crash them. */
export class SuspicionCost extends costRule.CostRule {
  override milliseconds(request: costRule.PlacementRequest, candidate: costRule.Candidate): number {
    const failed = request.failedServers.includes(candidate.serverId);
    const ownWork = request.suspect ? candidate.load.own.requests * SHARED_MILLISECONDS : 0;
    return (
      (candidate.suspected ? LAST_RESORT_MILLISECONDS : 0) +
      (failed ? FAILED_BEFORE_MILLISECONDS : 0) +
      (candidate.runsSuspect ? BESIDE_SUSPECT_MILLISECONDS : 0) +
      ownWork
    );
  }
}

/** Larger than the sum of all other costs: such a server is used only when no other is left. */
const LAST_RESORT_MILLISECONDS = 10_000_000;
const FAILED_BEFORE_MILLISECONDS = 100_000;
/** A crash beside a suspect costs a resume, which is worth a few seconds of delay to avoid. */
const BESIDE_SUSPECT_MILLISECONDS = 3_000;
/** A suspect goes where the fewest others would be hit. */
const SHARED_MILLISECONDS = 1_000;
