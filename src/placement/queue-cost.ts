import * as costRule from './cost-rule';
import * as serverLoad from './server-load';

/** The time until the prefill can start: prompts that wait before it, and requests beyond the slots. */
export class QueueCost extends costRule.CostRule {
  override milliseconds(_: costRule.PlacementRequest, candidate: costRule.Candidate): number {
    const work = serverLoad.totalLoad(candidate.load);
    const prefill = (work.prefillTokens / candidate.prefillTokensPerSecond) * 1_000;
    const utilization = Math.max(work.requests / candidate.slots, candidate.memoryUse);
    const overflow =
      Math.max(0, work.requests + 1 - candidate.slots) * OVERFLOW_MILLISECONDS +
      Math.max(0, candidate.memoryUse - 1) * MEMORY_MILLISECONDS;
    const base = prefill + utilization * FULL_SERVER_MILLISECONDS + overflow;
    return base * candidate.slowdown + (candidate.slowdown - 1) * STRAGGLER_MILLISECONDS;
  }
}

/** Decoding beside others is slower, and equal costs should go to the emptier server. */
const FULL_SERVER_MILLISECONDS = 100;
/** One request beyond the slots waits for one of them to end. */
const OVERFLOW_MILLISECONDS = 250;
/** With twice as much work as fits into the memory, a request waits about as long as one takes. */
const MEMORY_MILLISECONDS = 1_000;
/** A straggler delays every later token too, so that a cached prefix alone does not justify it. */
const STRAGGLER_MILLISECONDS = 1_000;
