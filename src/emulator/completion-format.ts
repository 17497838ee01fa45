import * as crypto from 'node:crypto';
import * as zod from 'zod';

/** Fields of a completions body that an emulated engine uses. */
export interface CompletionInput {
  readonly chat: boolean;
  readonly prompt: string;
  readonly outputTokens: number;
}

/** Text of one answer; equal inputs give equal chunks on every engine with the same weights. */
export interface CompletionText {
  readonly id: string;
  readonly chat: boolean;
  readonly model: string;
  readonly words: readonly string[];
  readonly promptTokens: number;
}

/**
 * Parses a body of the chat or text completions API.
 *
 * @example
 * parseCompletion('/v1/completions', { prompt: 'Hello', max_tokens: 4 });
 *
 * @returns `undefined` when the body is not valid for the path.
 */
export function parseCompletion(path: string, body: unknown): CompletionInput | undefined {
  const chat = path === '/v1/chat/completions';
  const parsed = (chat ? chatSchema : textSchema).safeParse(body);
  if (!parsed.success) {
    return undefined;
  }
  const { max_tokens: limit, max_completion_tokens: newLimit } = parsed.data;
  return {
    chat,
    prompt: promptText(parsed.data),
    outputTokens: newLimit ?? limit ?? DEFAULT_OUTPUT_TOKENS,
  };
}

/**
 * The words that an engine generates. The first one identifies the prompt, so that a test detects the answer
 * to another request.
 *
 * @example
 * generateWords('Hello', 'weights-1', 2); // ['[2f9c0d1e] ', 'amber ']
 */
export function generateWords(prompt: string, weightsVersion: string, count: number): string[] {
  const digest = crypto.createHash('sha256').update(`${weightsVersion}\n${prompt}`).digest();
  const name = `[${digest.toString('hex', 0, NAME_BYTES)}] `;
  const words = Array.from({ length: Math.max(0, count - 1) }, (_unused, index) => {
    const mixed = digest[index % digest.length] + index * digest[(index * 7) % digest.length];
    return `${WORDS[mixed % WORDS.length]} `;
  });
  return count === 0 ? [] : [name, ...words];
}

/**
 * The data of a numbered piece: a word, then the chunk with the finish reason, then `[DONE]`.
 *
 * @example
 * pieceData(text, text.words.length + 1); // '[DONE]'
 */
export function pieceData(text: CompletionText, number: number): string | undefined {
  const count = text.words.length;
  if (number > count + 1) {
    return undefined;
  }
  return number === count + 1 ? '[DONE]' : JSON.stringify(chunk(text, number));
}

const DEFAULT_OUTPUT_TOKENS = 16;
const MAXIMUM_OUTPUT_TOKENS = 100_000;
const NAME_BYTES = 4;
const CREATED_SECONDS = 1_700_000_000;
const WORDS = 'amber basil cedar delta ember fjord grove hazel ivory jetty kelp linen maple'.split(
  ' ',
);

const limitSchema = zod.int().min(0).max(MAXIMUM_OUTPUT_TOKENS).optional();

const chatSchema = zod.object({
  messages: zod.array(zod.object({ role: zod.string(), content: zod.unknown() })).min(1),
  max_tokens: limitSchema,
  max_completion_tokens: limitSchema,
});

const textSchema = zod.object({
  prompt: zod.unknown().refine((prompt) => prompt !== undefined),
  max_tokens: limitSchema,
  max_completion_tokens: limitSchema,
});

function promptText(body: zod.infer<typeof chatSchema> | zod.infer<typeof textSchema>): string {
  return 'messages' in body
    ? body.messages.map((message) => `${message.role}: ${plainText(message.content)}`).join('\n')
    : plainText(body.prompt);
}

/** Returns a text unchanged, and a list of parts or tokens as JSON. */
function plainText(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}

function chunk(text: CompletionText, number: number): object {
  const last = number === text.words.length;
  const finishReason = last ? 'stop' : null;
  const base = { id: text.id, created: CREATED_SECONDS, model: text.model };
  const usage = last ? { usage: tokenUsage(text) } : {};
  if (text.chat) {
    const content = last ? {} : { content: text.words[number] };
    const delta = number === 0 ? { role: 'assistant', ...content } : content;
    const choices = [{ index: 0, delta, finish_reason: finishReason }];
    return { ...base, object: 'chat.completion.chunk', choices, ...usage };
  }
  const choices = [{ index: 0, text: text.words[number] ?? '', finish_reason: finishReason }];
  return { ...base, object: 'text_completion', choices, ...usage };
}

function tokenUsage(text: CompletionText): object {
  return {
    prompt_tokens: text.promptTokens,
    completion_tokens: text.words.length,
    total_tokens: text.promptTokens + text.words.length,
  };
}
