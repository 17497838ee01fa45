import * as placement from '../placement';
import type * as event from './event';
import type * as state from './state';
import type * as steps from './step';

/** Pieces at the start of a prompt that a server has, from what this daemon and its peers have sent to it. */
export function knownPieces(
  step: steps.Step,
  { prefixChain }: event.RequestProfile,
  { record, incarnation }: state.ServerState,
): number {
  const { index, peerCache } = step.state;
  const own = placement.cachedPieces(index, record.id, incarnation, prefixChain, step.at);
  return peerCache.isEmpty() || own >= prefixChain.length - 1
    ? own
    : Math.max(own, placedByPeers(step, prefixChain, record));
}

/** The short names of the prefixes that other requests may share; the last part of a prompt is its own. */
export function sharedHashes(weightsVersion: string, prefixChain: readonly string[]): number[] {
  return prefixChain.slice(0, -1).map((key) => placement.prefixHash(weightsVersion, key));
}

function placedByPeers(
  step: steps.Step,
  prefixChain: readonly string[],
  { id, weightsVersion = '' }: state.ServerState['record'],
): number {
  const hashes = sharedHashes(weightsVersion, prefixChain);
  return placement.placedPieces(step.state.peerCache, id, hashes, step.at);
}
