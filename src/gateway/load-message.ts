import * as zod from 'zod';
import type * as control from '../control';
import type * as placement from '../placement';
import * as loadTable from './load-table';

export enum MessageKind {
  /** Load in flight from the sender. */
  Own = 'own',
  /** Load in flight from all daemons. */
  Sums = 'sums',
}

/** Keys have 12 characters. */
const MAXIMUM_KEY_CHARACTERS = 32;

/** A daemon sends at most 256 streams in a message. */
const MAXIMUM_STREAMS = 4_096;

const demandFields = {
  /** Milliseconds of server time for all prefixes. */
  demandTotal: zod.number().min(0).optional(),
  demand: zod.instanceof(Uint8Array).optional(),
};

const ownSchema = zod.object({
  ...demandFields,
  kind: zod.literal(MessageKind.Own),
  /** Server, requests, prompt tokens whose prefill has not ended, tokens in memory. */
  loads: zod.array(zod.tuple([zod.string(), zod.number(), zod.number(), zod.number()])),
  /** Server, hashes of the prefixes that were sent to it. */
  placings: zod.array(zod.tuple([zod.string(), zod.array(zod.int())])).optional(),
  /** Streams that the sender has begun; absent from messages of releases that did not report them. */
  begun: zod
    .array(
      zod.object({
        softwareVersion: zod.string(),
        keys: zod.array(zod.string().max(MAXIMUM_KEY_CHARACTERS)).max(MAXIMUM_STREAMS),
      }),
    )
    .optional(),
});

const sumsSchema = zod.object({
  ...demandFields,
  kind: zod.literal(MessageKind.Sums),
  /** Of the list of servers. */
  edition: zod.int(),
  servers: zod.array(zod.string()).optional(),
  /** Milliseconds between two messages of the leader, and of a daemon to the leader. */
  interval: zod.number().min(50).max(10_000),
  loads: zod.instanceof(Uint8Array),
  placings: zod.instanceof(Uint8Array).optional(),
});

/** Message of the leader to all daemons. */
export type SumsMessage = zod.infer<typeof sumsSchema>;

export const messageSchema = zod.discriminatedUnion('kind', [ownSchema, sumsSchema]);

/** The demand in a message; absent from most messages. */
export function decodeDemand({
  demandTotal,
  demand,
}: Pick<SumsMessage, 'demandTotal' | 'demand'>): placement.DemandReport | undefined {
  const keys = demand && loadTable.decodeDemand(demand);
  return keys === undefined || demandTotal === undefined
    ? undefined
    : { totalMilliseconds: demandTotal, keys };
}

type EncodedPlacement = [string, number[]];

/** Message of a daemon to the leader. */
export function encodeOwn(
  loads: readonly loadTable.InFlightLoad[],
  placements: readonly placement.PrefixPlacement[],
  begun: readonly control.BegunStreams[],
): object {
  const placings = placements.map(({ serverId, hashes }) => [serverId, [...hashes]]);
  return {
    kind: MessageKind.Own,
    loads: loads.map(encodeLoad),
    ...(placings.length === 0 ? {} : { placings }),
    ...(begun.length === 0 ? {} : { begun }),
  };
}

export function decodePlacement([serverId, hashes]: EncodedPlacement): placement.PrefixPlacement {
  return { serverId, hashes };
}

type Encoded = [string, number, number, number];

function encodeLoad({
  serverId,
  requests,
  prefillTokens,
  memoryTokens,
}: loadTable.InFlightLoad): Encoded {
  return [serverId, requests, Math.round(prefillTokens), Math.round(memoryTokens)];
}

export function decodeLoad([
  serverId,
  requests,
  prefillTokens,
  memoryTokens,
]: Encoded): loadTable.InFlightLoad {
  return { serverId, requests, prefillTokens, memoryTokens };
}
