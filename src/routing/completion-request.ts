import * as results from 'ts-results';
import * as zod from 'zod';
import * as verdict from '../verdict';

/** Fields of a completions request that the router validates; the engine gets all others as they are. */
const requestSchema = zod.looseObject({
  model: zod.string().min(1).max(256),
  stream: zod.boolean().nullish(),
  messages: zod.array(zod.unknown()).min(1).optional(),
  prompt: zod.union([zod.string(), zod.array(zod.unknown()).min(1)]).optional(),
  tools: zod.array(zod.unknown()).nullish(),
  max_tokens: zod.int().min(1).nullish(),
  max_completion_tokens: zod.int().min(1).nullish(),
});

export type CompletionRequest = zod.infer<typeof requestSchema>;

/** Paths of the completions API that engines serve. */
export enum CompletionPath {
  Chat = '/v1/chat/completions',
  Text = '/v1/completions',
}

/**
 * Parses and validates a request body.
 *
 * @example
 * parseCompletion(CompletionPath.Text, '{"model": "history-reading", "prompt": "Sack 12"}').unwrap();
 */
export function parseCompletion(
  path: CompletionPath,
  text: string,
): results.Result<CompletionRequest, verdict.RequestFailure> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return new results.Err(badRequest('The body is not valid JSON.'));
  }
  const parsed = requestSchema.safeParse(json);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return new results.Err(badRequest(`${issue.path.join('.') || 'body'}: ${issue.message}`));
  }
  const field = path === CompletionPath.Chat ? 'messages' : 'prompt';
  return parsed.data[field] === undefined
    ? new results.Err(badRequest(`${field}: this field is required`))
    : new results.Ok(parsed.data);
}

/** The caller's limit on generated tokens, if there is one. */
export function outputLimit(request: CompletionRequest): number | undefined {
  return request.max_completion_tokens ?? request.max_tokens ?? undefined;
}

function badRequest(message: string): verdict.RequestFailure {
  return verdict.failure(verdict.FailureReason.BadRequest, verdict.Verdict.NotRun, message);
}
