import * as zod from 'zod';
import * as receivedRequest from './received-request';

/** Exported KV cache of one prefix. The owner is inside, so that a wrong label is noticed on import. */
export const keptBlockSchema = zod.object({
  team: zod.string().min(1),
  weightsVersion: zod.string().min(1),
  prefixChain: zod.array(zod.string().min(1)).min(1),
});

export type KeptBlock = zod.infer<typeof keptBlockSchema>;

/** Reads an exported block from a request body; `undefined` when it is none. */
export function keptBlock(request: receivedRequest.ReceivedRequest): KeptBlock | undefined {
  const parsed = keptBlockSchema.safeParse(receivedRequest.json(request));
  return parsed.success ? parsed.data : undefined;
}
