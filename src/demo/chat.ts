import * as emulator from '../emulator';
import * as httpCall from './http-call';

/** A chat request of a team. */
export interface ChatCall {
  readonly port: number;
  readonly token: string;
  readonly model: string;
  readonly prompt: string;
  readonly outputTokens: number;
  readonly weightsVersion: string;
  readonly stream?: boolean;
}

/** Result of a chat request, as the caller received it. */
export interface ChatOutcome {
  readonly status: number;
  /** Whether the text is complete, in order, and what the emulated engines generate for the prompt. */
  readonly isCorrect: boolean;
  /** Whether the answer looks complete to a client library. */
  readonly hasEnd: boolean;
  readonly text: string;
  readonly verdict?: string;
  readonly revision: number;
  readonly requestId?: string;
  readonly raw: string;
}

/**
 * Sends a chat request and compares the answer with what the engines generate for the prompt.
 *
 * @example
 * const { isCorrect } = await chat({ port, token, model: 'history-reading', ... });
 */
export async function chat(call: ChatCall): Promise<ChatOutcome> {
  const { model, prompt, outputTokens } = call;
  const isStream = call.stream ?? true;
  const answer = await httpCall.send({
    port: call.port,
    method: 'POST',
    path: '/v1/chat/completions',
    token: call.token,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      model,
      stream: isStream,
      max_tokens: outputTokens,
      messages: [{ role: 'user', content: prompt }],
    }),
  });
  const text = isStream ? streamedText(answer.text) : wholeText(answer);
  const expected = emulator.generateWords(`user: ${prompt}`, call.weightsVersion, outputTokens);
  return {
    status: answer.status,
    isCorrect: answer.isComplete && text === expected.join(''),
    hasEnd: isStream ? answer.text.endsWith('data: [DONE]\n\n') : answer.status === 200,
    text,
    verdict: verdictOf(answer),
    revision: Number(answer.headers['x-figline-revision'] ?? 0),
    requestId: answer.headers['x-request-id'] as string | undefined,
    raw: answer.text,
  };
}

function streamedText(body: string): string {
  return [...body.matchAll(/^data: (\{.*\})$/gm)]
    .map((match) => JSON.parse(match[1]).choices?.[0]?.delta?.content ?? '')
    .join('');
}

function wholeText(answer: httpCall.HttpAnswer): string {
  return answer.status === 200 ? JSON.parse(answer.text).choices[0].message.content : '';
}

function verdictOf(answer: httpCall.HttpAnswer): string | undefined {
  const header = answer.headers['x-figline-verdict'];
  return typeof header === 'string' ? header : /"verdict":"([a-z-]+)"/.exec(answer.text)?.[1];
}
