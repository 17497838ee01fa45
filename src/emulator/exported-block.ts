import * as zod from 'zod';
import * as receivedRequest from './received-request';

/** Exported KV cache of one prefix. It contains its owner, so that the import detects a wrong team or version. */
export const exportedBlockSchema = zod.object({
  team: zod.string().min(1),
  weightsVersion: zod.string().min(1),
  prefixChain: zod.array(zod.string().min(1)).min(1),
});

export type ExportedBlock = zod.infer<typeof exportedBlockSchema>;

/** Parses an exported block from a request body; `undefined` if the body is not a valid block. */
export function exportedBlock(request: receivedRequest.ReceivedRequest): ExportedBlock | undefined {
  const parsed = exportedBlockSchema.safeParse(receivedRequest.json(request));
  return parsed.success ? parsed.data : undefined;
}
