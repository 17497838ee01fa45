import * as costRule from './cost-rule';
import * as promptSplit from './prompt-split';

/** The pauses that a long prompt causes in the streams beside it, for services that limit pauses. */
export class SplitCost extends costRule.CostRule {
  override milliseconds(
    { promptSize }: costRule.PlacementRequest,
    { keptFor }: costRule.Candidate,
  ): number {
    if (keptFor === undefined || promptSize === undefined || keptFor === promptSize) {
      return 0;
    }
    return promptSize === promptSplit.PromptSize.Long
      ? LONG_BESIDE_SHORT_MILLISECONDS
      : SHORT_BESIDE_LONG_MILLISECONDS;
  }
}

/** One long prompt delays several streams; it waits for two others rather than joining them. */
const LONG_BESIDE_SHORT_MILLISECONDS = 500;

/** About the pause beside a long prompt; beyond that, the wait at a full server is worse. */
const SHORT_BESIDE_LONG_MILLISECONDS = 150;
