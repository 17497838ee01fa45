import * as zod from 'zod';

const toolCallSchema = zod.looseObject({
  index: zod.int().min(0),
  id: zod.string().optional(),
  type: zod.string().optional(),
  function: zod
    .looseObject({ name: zod.string().optional(), arguments: zod.string().optional() })
    .optional(),
});

const deltaSchema = zod.looseObject({
  role: zod.string().optional(),
  content: zod.string().nullish(),
  refusal: zod.string().nullish(),
  tool_calls: zod.array(toolCallSchema).optional(),
});

const choiceSchema = zod.looseObject({
  index: zod.int().min(0),
  delta: deltaSchema.optional(),
  text: zod.string().optional(),
  finish_reason: zod.string().nullish(),
});

/** One chunk of a streamed answer of the chat or text completions API. */
export const chunkSchema = zod.looseObject({
  id: zod.string(),
  created: zod.number(),
  model: zod.string(),
  choices: zod.array(choiceSchema),
  usage: zod.looseObject({}).nullish(),
});

export type Chunk = zod.infer<typeof chunkSchema>;
export type ChunkChoice = zod.infer<typeof choiceSchema>;
export type ChunkToolCall = zod.infer<typeof toolCallSchema>;
