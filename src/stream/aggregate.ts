import * as results from 'ts-results';
import * as verdict from '../verdict';
import * as chunkSchema from './chunk-schema';
import * as streamCheck from './stream-check';

/** Which API an answer belongs to. */
export enum AnswerFormat {
  Chat = 'chat',
  Text = 'text',
}

interface AggregatedToolCall {
  readonly index: number;
  readonly id: string;
  readonly type: string;
  readonly name: string;
  readonly arguments: string;
}

interface AggregatedChoice {
  readonly index: number;
  readonly role: string;
  readonly content: string;
  readonly refusal?: string;
  readonly toolCalls: readonly AggregatedToolCall[];
  readonly finishReason: string | null;
}

/** A whole answer in the making. */
export interface Aggregate {
  readonly format: AnswerFormat;
  /** Id, time and model of the first chunk, which name the answer even after a resume elsewhere. */
  readonly first?: { readonly id: string; readonly created: number; readonly model: string };
  readonly choices: readonly AggregatedChoice[];
  readonly usage?: object;
  readonly ended: boolean;
}

/**
 * An answer without any chunk yet.
 *
 * @example
 * let answer = emptyAggregate(AnswerFormat.Chat);
 */
export function emptyAggregate(format: AnswerFormat): Aggregate {
  return { format, choices: [], ended: false };
}

/**
 * Adds the data of one delivered piece, in order.
 *
 * @returns `Err` when the data is no chunk of the completions API.
 */
export function addChunk(
  aggregate: Aggregate,
  data: string,
): results.Result<Aggregate, verdict.RequestFailure> {
  if (data === streamCheck.DONE) {
    return results.Ok({ ...aggregate, ended: true });
  }
  const parsed = chunkSchema.chunkSchema.safeParse(parseJson(data));
  if (!parsed.success) {
    return results.Err(broken('The engine sent a malformed chunk.'));
  }
  const { id, created, model, choices, usage } = parsed.data;
  return results.Ok({
    ...aggregate,
    first: aggregate.first ?? { id, created, model },
    choices: choices.reduce(addChoice, aggregate.choices),
    usage: usage ?? aggregate.usage,
  });
}

/**
 * The body of the whole answer.
 *
 * @returns `Err` unless `[DONE]` was added: an incomplete answer must not look like a whole one.
 */
export function wholeBody(aggregate: Aggregate): results.Result<object, verdict.RequestFailure> {
  if (!aggregate.ended || aggregate.first === undefined) {
    return results.Err(broken('The answer of the engine is incomplete.'));
  }
  const chat = aggregate.format === AnswerFormat.Chat;
  const body = {
    ...aggregate.first,
    object: chat ? 'chat.completion' : 'text_completion',
    choices: aggregate.choices.map(chat ? chatChoice : textChoice),
  };
  return results.Ok(aggregate.usage === undefined ? body : { ...body, usage: aggregate.usage });
}

function addChoice(
  choices: readonly AggregatedChoice[],
  chunk: chunkSchema.ChunkChoice,
): readonly AggregatedChoice[] {
  const known = choices.find((choice) => choice.index === chunk.index);
  const extended = extendChoice(known ?? emptyChoice(chunk.index), chunk);
  return known === undefined
    ? [...choices, extended].sort((left, right) => left.index - right.index)
    : choices.map((choice) => (choice === known ? extended : choice));
}

function emptyChoice(index: number): AggregatedChoice {
  return { index, role: 'assistant', content: '', toolCalls: [], finishReason: null };
}

function extendChoice(choice: AggregatedChoice, chunk: chunkSchema.ChunkChoice): AggregatedChoice {
  const { delta } = chunk;
  const refusal = delta?.refusal ?? undefined;
  return {
    index: choice.index,
    role: delta?.role ?? choice.role,
    content: choice.content + (delta?.content ?? chunk.text ?? ''),
    refusal: refusal === undefined ? choice.refusal : (choice.refusal ?? '') + refusal,
    toolCalls: (delta?.tool_calls ?? []).reduce(addToolCall, choice.toolCalls),
    finishReason: chunk.finish_reason ?? choice.finishReason,
  };
}

function addToolCall(
  calls: readonly AggregatedToolCall[],
  chunk: chunkSchema.ChunkToolCall,
): readonly AggregatedToolCall[] {
  const known = calls.find((call) => call.index === chunk.index);
  const before = known ?? { index: chunk.index, id: '', type: 'function', name: '', arguments: '' };
  const extended = {
    index: chunk.index,
    id: chunk.id ?? before.id,
    type: chunk.type ?? before.type,
    name: before.name + (chunk.function?.name ?? ''),
    arguments: before.arguments + (chunk.function?.arguments ?? ''),
  };
  return known === undefined
    ? [...calls, extended]
    : calls.map((call) => (call === known ? extended : call));
}

function chatChoice(choice: AggregatedChoice): object {
  const calls = choice.toolCalls.map(({ id, type, name, arguments: text }) => ({
    id,
    type,
    function: { name, arguments: text },
  }));
  const onlyCalls = calls.length > 0 && choice.content === '';
  const message = {
    role: choice.role,
    content: onlyCalls ? null : choice.content,
    refusal: choice.refusal ?? null,
    ...(calls.length > 0 ? { tool_calls: calls } : {}),
  };
  return { index: choice.index, message, finish_reason: choice.finishReason };
}

function textChoice(choice: AggregatedChoice): object {
  return { index: choice.index, text: choice.content, finish_reason: choice.finishReason };
}

function broken(message: string): verdict.RequestFailure {
  const { MayHaveRun } = verdict.Verdict;
  return verdict.failure(verdict.FailureReason.StreamBroken, MayHaveRun, message);
}

function parseJson(data: string): unknown {
  try {
    return JSON.parse(data);
  } catch {
    return undefined;
  }
}
