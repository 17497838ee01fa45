import * as costRule from './cost-rule';

/**
 * The disadvantage of older weights while newer ones are being rolled out: the answer is worth less, and the
 * server is among the next to be ordered, which then refuses what has not started.
 */
export class OutdatedCost extends costRule.CostRule {
  override milliseconds(
    _request: costRule.PlacementRequest,
    candidate: costRule.Candidate,
  ): number {
    return candidate.outdated ? OUTDATED_MILLISECONDS : 0;
  }
}

/** About a fifth of the time that callers expect answers in. */
const OUTDATED_MILLISECONDS = 120;
