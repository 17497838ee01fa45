import * as costRule from './cost-rule';
import * as serverLoad from './server-load';

/** The time until the prefill starts, from waiting prompts and from requests beyond slots and memory. */
export class QueueCost extends costRule.CostRule {
  override milliseconds(_: costRule.PlacementRequest, candidate: costRule.Candidate): number {
    const load = serverLoad.totalLoad(candidate.load);
    const prefill = (load.prefillTokens / candidate.prefillTokensPerSecond) * 1_000;
    const utilization = Math.max(load.requests / candidate.slots, candidate.memoryUse);
    const overflow =
      Math.max(0, load.requests + 1 - candidate.slots) * OVERFLOW_MILLISECONDS +
      Math.max(0, candidate.memoryUse - 1) * MEMORY_MILLISECONDS;
    const base = prefill + utilization * FULL_SERVER_MILLISECONDS + overflow;
    return base * candidate.slowdown + (candidate.slowdown - 1) * STRAGGLER_MILLISECONDS;
  }
}

/** Decoding in a larger batch is slower, and among equal costs the server with less load gets the request. */
const FULL_SERVER_MILLISECONDS = 100;
/** One request beyond the slots waits for one of them to end. */
const OVERFLOW_MILLISECONDS = 250;
/** With twice the load that fits into the memory, a request waits about as long as one request runs. */
const MEMORY_MILLISECONDS = 1_000;
/** A straggler delays all later tokens too, which a cached prefix alone does not outweigh. */
const STRAGGLER_MILLISECONDS = 1_000;
