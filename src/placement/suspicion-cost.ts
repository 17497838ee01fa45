import * as costRule from './cost-rule';

/** Avoids servers that may be dead, that failed this request, or that run a request that may crash them. */
export class SuspicionCost extends costRule.CostRule {
  override milliseconds(request: costRule.PlacementRequest, candidate: costRule.Candidate): number {
    const failed = request.failedServers.includes(candidate.serverId);
    const ownLoadCost = request.suspect
      ? candidate.load.own.requests * OWN_REQUEST_MILLISECONDS
      : 0;
    return (
      (candidate.suspected ? LAST_RESORT_MILLISECONDS : 0) +
      (failed ? FAILED_BEFORE_MILLISECONDS : 0) +
      (candidate.runsSuspect ? BESIDE_SUSPECT_MILLISECONDS : 0) +
      ownLoadCost
    );
  }
}

/** Larger than the sum of all other costs, so that such a server is used only when no other is left. */
const LAST_RESORT_MILLISECONDS = 10_000_000;
const FAILED_BEFORE_MILLISECONDS = 100_000;
/** A crash that a suspect causes costs a resume, which is worse than a few seconds of delay. */
const BESIDE_SUSPECT_MILLISECONDS = 3_000;
/** A suspect runs where a crash would hit the fewest other requests. */
const OWN_REQUEST_MILLISECONDS = 1_000;
