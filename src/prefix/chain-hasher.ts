import xxhash, { type XXHashAPI } from 'xxhash-wasm';

/** What seeds a chain: entries of one identity are never found under another. */
export interface CacheIdentity {
  readonly team: string;
  readonly model: string;
  readonly weightsVersion: string;
}

/** Tokens in one piece; the engines cache in blocks of about this size. */
export const TOKENS_PER_BLOCK = 1_000;

/** Estimate for text whose tokenizer the router does not have. */
export const BYTES_PER_TOKEN = 4;

/** Computes chain hashes of prompts. Create it with `createChainHasher`. */
export class ChainHasher {
  constructor(private readonly xxhashApi: XXHashAPI) {}

  /**
   * The hash of each whole piece of a prompt, shortest prefix first, as 16 hexadecimal digits. Each hash
   * is seeded with the one before it. The unfinished last piece has no hash, so that the chain of a
   * prompt is the start of the chain of every prompt that extends it.
   *
   * @example
   * hasher.chain({ team: 'depot', model: 'sack', weightsVersion: 'v1' }, new Uint8Array(9_000)).length; // 2
   */
  chain(identity: CacheIdentity, prompt: Uint8Array): string[] {
    const pieces = Math.floor(prompt.length / BYTES_PER_PIECE);
    const hashes: string[] = [];
    let seed = this.seed(identity);
    for (let piece = 0; piece < pieces; piece += 1) {
      const start = piece * BYTES_PER_PIECE;
      seed = this.xxhashApi.h64Raw(prompt.subarray(start, start + BYTES_PER_PIECE), seed);
      hashes.push(seed.toString(16).padStart(HEXADECIMAL_DIGITS, '0'));
    }
    return hashes;
  }

  /** JSON separates the parts unambiguously: no two identities give the same text. */
  private seed(identity: CacheIdentity): bigint {
    return this.xxhashApi.h64(
      JSON.stringify([identity.team, identity.model, identity.weightsVersion]),
    );
  }
}

/**
 * Loads the hash function and returns a hasher.
 *
 * @example
 * const hasher = await createChainHasher();
 */
export async function createChainHasher(): Promise<ChainHasher> {
  return new ChainHasher(await xxhash());
}

/**
 * The estimated length of a prompt in tokens.
 *
 * @example
 * estimateTokens(new Uint8Array(4_000)); // 1000
 */
export function estimateTokens(prompt: Uint8Array): number {
  return Math.ceil(prompt.length / BYTES_PER_TOKEN);
}

const BYTES_PER_PIECE = TOKENS_PER_BLOCK * BYTES_PER_TOKEN;
const HEXADECIMAL_DIGITS = 16;
