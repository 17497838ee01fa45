import * as costRule from './cost-rule';

/**
 * The cost of older weights during a roll-out: callers prefer answers of the newer weights, and the server is
 * among the next that get the order to load them and then refuse requests that have not started.
 */
export class OutdatedCost extends costRule.CostRule {
  override milliseconds(
    _request: costRule.PlacementRequest,
    candidate: costRule.Candidate,
  ): number {
    return candidate.outdated ? OUTDATED_MILLISECONDS : 0;
  }
}

/** About a fifth of the time within which callers expect answers. */
const OUTDATED_MILLISECONDS = 120;
