import xxhash, { type XXHashAPI } from 'xxhash-wasm';

/** The seed of a chain, so that a lookup for one identity never finds entries of another. */
export interface CacheIdentity {
  readonly team: string;
  readonly model: string;
  readonly weightsVersion: string;
}

/** Tokens in one block; the engines cache in blocks of about this size. */
export const TOKENS_PER_BLOCK = 1_000;

/** Estimate, because the router does not have the tokenizers of the models. */
export const BYTES_PER_TOKEN = 4;

/** Computes chain hashes of prompts. Create instances with `createChainHasher`. */
export class ChainHasher {
  constructor(private readonly xxhashApi: XXHashAPI) {}

  /**
   * The hash of each whole block of a prompt, shortest prefix first, as 16 hexadecimal digits. The seed of
   * each hash is the previous one. An incomplete last block has no hash, so that the chain of a prompt is the
   * start of the chain of every prompt that extends it.
   *
   * @example
   * hasher.chain({ team: 'depot', model: 'sack', weightsVersion: 'v1' }, new Uint8Array(9_000)).length; // 2
   */
  chain(identity: CacheIdentity, prompt: Uint8Array): string[] {
    const blocks = Math.floor(prompt.length / BYTES_PER_BLOCK);
    const hashes: string[] = [];
    let seed = this.seed(identity);
    for (let block = 0; block < blocks; block += 1) {
      const start = block * BYTES_PER_BLOCK;
      seed = this.xxhashApi.h64Raw(prompt.subarray(start, start + BYTES_PER_BLOCK), seed);
      hashes.push(seed.toString(16).padStart(HEXADECIMAL_DIGITS, '0'));
    }
    return hashes;
  }

  /** JSON separates the fields unambiguously, so that different identities have different seeds. */
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

const BYTES_PER_BLOCK = TOKENS_PER_BLOCK * BYTES_PER_TOKEN;
const HEXADECIMAL_DIGITS = 16;
