import * as results from 'ts-results';
import * as verdict from '../verdict';
import * as chunkSchema from './chunk-schema';
import * as streamCheck from './stream-check';

/** The API whose format an answer has. */
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

/** A complete answer that is being assembled from chunks. */
export interface Aggregate {
  readonly format: AnswerFormat;
  /** Id, time and model of the first chunk; the answer keeps them after a resume on another engine. */
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
 * @returns `Err` when the data is not a chunk of the completions API.
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
    return results.Err(streamBroken('The engine sent a malformed chunk.'));
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
 * The body of the complete answer.
 *
 * @returns `Err` unless `[DONE]` was added: an incomplete answer must not look complete.
 */
export function wholeBody(aggregate: Aggregate): results.Result<object, verdict.RequestFailure> {
  if (!aggregate.ended || aggregate.first === undefined) {
    return results.Err(streamBroken('The answer of the engine is incomplete.'));
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
  const existing = choices.find((choice) => choice.index === chunk.index);
  const extended = extendChoice(existing ?? emptyChoice(chunk.index), chunk);
  return existing === undefined
    ? [...choices, extended].sort((left, right) => left.index - right.index)
    : choices.map((choice) => (choice === existing ? extended : choice));
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
  const existing = calls.find((call) => call.index === chunk.index);
  const previous = existing ?? {
    index: chunk.index,
    id: '',
    type: 'function',
    name: '',
    arguments: '',
  };
  const extended = {
    index: chunk.index,
    id: chunk.id ?? previous.id,
    type: chunk.type ?? previous.type,
    name: previous.name + (chunk.function?.name ?? ''),
    arguments: previous.arguments + (chunk.function?.arguments ?? ''),
  };
  return existing === undefined
    ? [...calls, extended]
    : calls.map((call) => (call === existing ? extended : call));
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

function streamBroken(message: string): verdict.RequestFailure {
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
