import * as zod from 'zod';

const rateSchema = zod.number().positive();
const durationSchema = zod.number().min(0);

/** Settings of an emulated engine; the defaults correspond to the current runners. */
export const engineOptionsSchema = zod.strictObject({
  model: zod.string().default('emulated-model'),
  weightsVersion: zod.string().min(1).default('weights-1'),
  /** Maximum number of requests in the batch. */
  slots: zod.int().min(1).default(8),
  /** Maximum number of requests that wait for a slot; further requests are refused. */
  maximumQueue: zod.int().min(0).default(1_000),
  prefillTokensPerSecond: rateSchema.default(8_000),
  /** Rate of one request. */
  decodeTokensPerSecond: rateSchema.default(40),
  /** Tokens of one cache block. */
  blockTokens: zod.int().min(1).default(1_000),
  cacheBlocks: zod.int().min(0).default(2_000),
  /** Time after its last use at which a cached block is evicted. */
  cacheMilliseconds: durationSchema.default(5_000),
  /** Whether an order with an old fencing number is refused. */
  checksFencing: zod.boolean().default(true),
  commentMilliseconds: durationSchema.default(1_000),
  /** Age of the load report. */
  loadLagMilliseconds: durationSchema.default(500),
  cacheEventDelayMilliseconds: durationSchema.default(200),
  /** Every cache event whose number is a multiple of this is lost; 0 loses none. */
  loseCacheEventEvery: zod.int().min(0).default(0),
  /** A prompt that contains this text crashes the engine; empty for none. */
  crashMarker: zod.string().default(''),
  /** Time until the engine restarts after a crash by `crashMarker`; negative for never. */
  restartMilliseconds: zod.number().default(200),
});

export type EngineOptions = zod.infer<typeof engineOptionsSchema>;
export type EngineOptionsInput = zod.input<typeof engineOptionsSchema>;
