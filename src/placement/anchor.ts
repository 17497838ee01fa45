/**
 * The chain hash that stands for a request in rendezvous hashing, or an empty text without a chain. The
 * last piece of a prompt often belongs to the question alone, and a conversation grows a little with
 * each turn; the depth is therefore rounded down to a coarse step, so that requests with the same
 * history share an anchor.
 *
 * @example
 * anchorOf(['a', 'b', 'c', 'd', 'e', 'f']); // 'd'
 */
export function anchorOf(chain: readonly string[]): string {
  return chain[anchorDepth(chain.length) - 1] ?? '';
}

/** The number of pieces up to and including the anchor. */
export function anchorDepth(pieces: number): number {
  return STEPS.findLast((step) => step <= Math.max(1, pieces - 1)) ?? 1;
}

/** Each step is 1.3 to 2 times the one before, so that a prompt that doubles moves only a few times. */
const STEPS = [1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128];
