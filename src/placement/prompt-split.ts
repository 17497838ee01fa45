import * as immutable from 'immutable';
import * as rendezvous from './rendezvous';

/** Which requests a server is kept for. */
export enum PromptSize {
  Short = 'short',
  Long = 'long',
}

/** Recent work of both sizes at one service, decaying exponentially. */
interface Mix {
  readonly milliseconds: Readonly<Record<PromptSize, number>>;
  readonly at: number;
}

/** Recent work of each service by the size of its prompts. */
export type PromptMixes = immutable.Map<string, Mix>;

export const EMPTY_MIXES: PromptMixes = immutable.Map<string, Mix>();

/**
 * The size of a prompt by the time that reading it takes.
 *
 * @example
 * promptSize(9_000, 41_400); // PromptSize.Long
 */
export function promptSize(tokens: number, tokensPerSecond: number): PromptSize {
  const milliseconds = (tokens / tokensPerSecond) * 1_000;
  return milliseconds > SHORT_READING_MILLISECONDS ? PromptSize.Long : PromptSize.Short;
}

/** Adds the engine time that a request of a service will take. */
export function addWork(
  mixes: PromptMixes,
  service: string,
  size: PromptSize,
  milliseconds: number,
  at: number,
): PromptMixes {
  const known = mixes.get(service) ?? NO_WORK;
  const decay = 0.5 ** ((at - known.at) / HALF_LIFE_MILLISECONDS);
  const sums = {
    [PromptSize.Short]: known.milliseconds[PromptSize.Short] * decay,
    [PromptSize.Long]: known.milliseconds[PromptSize.Long] * decay,
  };
  return mixes.set(service, {
    milliseconds: { ...sums, [size]: sums[size] + milliseconds },
    at,
  });
}

/**
 * Load pattern: long prompts are read in chunks between the tokens of the streams beside them. While an
 * engine is slow for a moment, each of these streams pauses for longer than its callers accept. Some
 * servers are therefore kept for short prompts, in proportion to their part of the work; all daemons choose
 * the same ones. Returns no server when the service has requests of one size only, or too few servers.
 *
 * @example
 * serversForShort(mixes, 'inspection-desk', ['i-1', 'i-2', 'i-3']); // Set { 'i-2' }
 */
export function serversForShort(
  mixes: PromptMixes,
  service: string,
  serverIds: readonly string[],
): ReadonlySet<string> {
  const mix = mixes.get(service) ?? NO_WORK;
  const short = mix.milliseconds[PromptSize.Short];
  const total = short + mix.milliseconds[PromptSize.Long];
  const share = total === 0 ? 0 : short / total;
  if (share === 0 || share === 1 || serverIds.length < MINIMUM_SERVERS) {
    return NO_SERVERS;
  }
  const wanted = Math.ceil(share * serverIds.length);
  const count = Math.min(wanted, Math.floor(serverIds.length / 2));
  return new Set(rendezvous.rankServers(service, serverIds).slice(0, count));
}

const NO_WORK: Mix = {
  milliseconds: { [PromptSize.Short]: 0, [PromptSize.Long]: 0 },
  at: 0,
};

const NO_SERVERS: ReadonlySet<string> = new Set();

/** About two chunks of a prompt; streams beside it feel a longer one as a pause. */
const SHORT_READING_MILLISECONDS = 50;

/** A daemon sees a few requests a second; the mix of the sizes changes more slowly than their number. */
const HALF_LIFE_MILLISECONDS = 20_000;

/** With fewer servers, the loss of one leaves one size without any. */
const MINIMUM_SERVERS = 3;
