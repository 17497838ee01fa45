import * as results from 'ts-results';
import * as verdict from '../verdict';

/**
 * The bytes of a request body that determine the engine's prompt, in the order in which the engine reads
 * them. Fields that do not change the prompt, such as `temperature`, are left out, and the order of the
 * body's fields has no effect. When a conversation grows, its previous bytes remain a prefix.
 *
 * Returns `bad_request` when the body has neither `messages` nor `prompt`.
 *
 * @example
 * canonicalPrompt({ prompt: 'Assess sack 7.' }).unwrap().length; // 14
 */
export function canonicalPrompt(body: unknown): results.Result<Uint8Array, verdict.RequestFailure> {
  const parts = isRecord(body) ? promptParts(body) : undefined;
  if (parts === undefined) {
    return new results.Err(
      verdict.failure(
        verdict.FailureReason.BadRequest,
        verdict.Verdict.NotRun,
        'The body needs a list "messages" or a "prompt".',
      ),
    );
  }
  return new results.Ok(new TextEncoder().encode(parts.join('\n')));
}

interface JsonRecord {
  readonly [key: string]: unknown;
}

function isRecord(value: unknown): value is JsonRecord {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function promptParts(body: JsonRecord): string[] | undefined {
  if (Array.isArray(body.messages)) {
    // Chat templates insert tool definitions before the first message.
    const tools = body.tools === undefined ? [] : [canonicalJson(body.tools)];
    return [...tools, ...body.messages.map(messageText)];
  }
  if (typeof body.prompt === 'string') {
    return [body.prompt];
  }
  return Array.isArray(body.prompt) ? body.prompt.map(canonicalJson) : undefined;
}

function messageText(message: unknown): string {
  if (!isRecord(message) || typeof message.content !== 'string') {
    return canonicalJson(message);
  }
  const { role, content, ...rest } = message;
  const other = Object.keys(rest).length === 0 ? '' : canonicalJson(rest);
  return `${canonicalJson(role)}${other}\n${content}`;
}

/** JSON with the keys of every object in alphabetical order. */
function canonicalJson(value: unknown): string {
  const sorted = JSON.stringify(value, (_, entry) =>
    isRecord(entry)
      ? Object.fromEntries(Object.entries(entry).sort(([left], [right]) => (left < right ? -1 : 1)))
      : entry,
  );
  return sorted ?? '';
}
