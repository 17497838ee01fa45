/**
 * The chain hash that is the key of a request in rendezvous hashing, or an empty string without a chain. The
 * last block of a prompt often holds only the question, and a conversation grows a little with each turn. The
 * depth is therefore rounded down to a coarse step, so that requests with the same history share a key.
 *
 * @example
 * affinityKeyOf(['a', 'b', 'c', 'd', 'e', 'f']); // 'd'
 */
export function affinityKeyOf(chain: readonly string[]): string {
  return chain[affinityKeyDepth(chain.length) - 1] ?? '';
}

/** The number of blocks up to and including the one whose chain hash is the affinity key. */
export function affinityKeyDepth(blocks: number): number {
  return DEPTH_STEPS.findLast((step) => step <= Math.max(1, blocks - 1)) ?? 1;
}

/**
 * The depth of the outer prefix, one step shorter than that of the affinity key, which prompts with different
 * affinity keys share; 0 when there is none.
 */
export function outerPrefixDepth(blocks: number): number {
  return DEPTH_STEPS.findLast((step) => step < affinityKeyDepth(blocks)) ?? 0;
}

/** Each step is twice the previous one; closer steps split the prompts of more histories between two keys. */
const DEPTH_STEPS = [1, 2, 4, 8, 16, 32, 64, 128];
