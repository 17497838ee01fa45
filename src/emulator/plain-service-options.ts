import * as zod from 'zod';

/** Settings of an emulated plain service. */
export const plainServiceOptionsSchema = zod.strictObject({
  /** Time that one request takes. */
  serviceMilliseconds: zod.number().min(0).default(1),
});

export type PlainServiceOptions = zod.infer<typeof plainServiceOptionsSchema>;
export type PlainServiceOptionsInput = zod.input<typeof plainServiceOptionsSchema>;
