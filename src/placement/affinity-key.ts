/**
 * The chain hash that stands for a request in rendezvous hashing, or an empty text without a chain. The
 * last piece of a prompt often belongs to the question alone, and a conversation grows a little with
 * each turn; the depth is therefore rounded down to a coarse step, so that requests with the same
 * history share an anchor.
 *
 * @example
 * anchorOf(['a', 'b', 'c', 'd', 'e', 'f']); // 'd'
 */
export function affinityKeyOf(chain: readonly string[]): string {
  return chain[affinityKeyDepth(chain.length) - 1] ?? '';
}

/** The number of pieces up to and including the anchor. */
export function affinityKeyDepth(pieces: number): number {
  return STEPS.findLast((step) => step <= Math.max(1, pieces - 1)) ?? 1;
}

/** The depth of the shorter prefix, one step above the anchor, that its siblings share. */
export function outerPrefixDepth(pieces: number): number {
  return STEPS.findLast((step) => step < affinityKeyDepth(pieces)) ?? 0;
}

/** Each step is twice the one before: with closer steps, more histories have prompts on both sides of one. */
const STEPS = [1, 2, 4, 8, 16, 32, 64, 128];
