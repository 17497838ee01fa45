import * as assert from 'uvu/assert';
import * as builder from './gateway-builder';
import * as rawServer from './raw-server';

/** How the end of an answer is marked. */
export enum Framing {
  Length = 'a length',
  Chunks = 'chunks',
  Close = 'neither length nor chunks',
  /** An HTTP/1.0 answer, which ends with its connection. */
  OldClose = 'an HTTP/1.0 head',
}

/** Kinds of requests, by the paths of their routes. */
export enum Kind {
  ResumableStream = '/reply/',
  Stream = '/report/',
  Idempotent = '/balance/',
  NotIdempotent = '/charge/',
}

export type Ending = rawServer.RawBytes['then'];

export const FRAMINGS = Object.values(Framing);
export const KINDS = Object.values(Kind);
export const ENDINGS: readonly Ending[] = ['end', 'reset'];

export const TEXT = 'seven sacks';
export const STREAM = rawServer.events(false, 1, 2);

export function isStream(kind: Kind): boolean {
  return kind === Kind.ResumableStream || kind === Kind.Stream;
}

export function bodyOf(kind: Kind): string {
  return isStream(kind) ? STREAM : TEXT;
}

function isCloseDelimited(framing: Framing): boolean {
  return framing === Framing.Close || framing === Framing.OldClose;
}

/** The head of a genuine answer. */
export function headOf(id: string, framing: Framing, kind: Kind, status = '200 OK'): string {
  const lines = {
    [Framing.Length]: [`Content-Length: ${bodyOf(kind).length}`],
    [Framing.Chunks]: ['Transfer-Encoding: chunked'],
    [Framing.Close]: ['Connection: close'],
    [Framing.OldClose]: [],
  }[framing];
  return [
    `HTTP/1.${framing === Framing.OldClose ? 0 : 1} ${status}`,
    `X-Figline-Request-Id: ${id}`,
    'X-Figline-Response-Seal: s',
    ...(isStream(kind) ? ['Content-Type: text/event-stream'] : []),
    ...lines,
    '\r\n',
  ].join('\r\n');
}

export function framedBody(framing: Framing, kind: Kind): string {
  const body = bodyOf(kind);
  return framing === Framing.Chunks
    ? `${body.length.toString(16)}\r\n${body}\r\n0\r\nX-Sum: 1\r\n\r\n`
    : body;
}

export function wholeAnswer(id: string, framing: Framing, kind: Kind): rawServer.RawAnswer {
  const bytes = headOf(id, framing, kind) + framedBody(framing, kind);
  return () => (isCloseDelimited(framing) ? { bytes, then: 'end' } : bytes);
}

/** One request whose first attempts get broken answers; all later ones get the last answer. */
export interface Case {
  readonly id: string;
  readonly name: string;
  readonly kind: Kind;
  readonly answers: readonly rawServer.RawAnswer[];
}

/** What became of the request of a case. */
export interface Result {
  readonly given: Case;
  /** `undefined` if the connection was closed without an answer. */
  readonly answer?: builder.Answer;
  /** The attempts that reached a server. */
  readonly attempts: readonly rawServer.RawRequest[];
}

const LANES = 24;

/** One more than all requests together can use or make suspected, so that another server is free when a connection breaks. */
const SERVERS = Array.from({ length: 3 * LANES + 1 }, (_, index) => `i-${index + 1}`);

/** More retries than the cases need, so that the budget does not decide what they show. */
const RETRY_LIMITS = { ratio: 4, slack: 10_000, windowMilliseconds: 10_000 };

/** Times in which every request arrives, also while the process, with its callers and servers, gets no processor time. */
const CALLER_LIMITS = {
  bodyBytes: 100_000,
  headersMilliseconds: 60_000,
  requestMilliseconds: 60_000,
  idleMilliseconds: 60_000,
};

/** Answers the attempts of cases, and counts them. */
export class CaseAnswers {
  private readonly byId: ReadonlyMap<string, Case>;

  private readonly attempts = new Map<string, rawServer.RawRequest[]>();

  constructor(
    private readonly cases: readonly Case[],
    /** The answer to a request that belongs to no case. */
    private readonly other: rawServer.RawAnswer,
  ) {
    this.byId = new Map(cases.map((given) => [given.id, given]));
  }

  readonly answer: rawServer.RawAnswer = (request) => {
    const given = this.byId.get(request.id);
    if (given === undefined) {
      return this.other(request);
    }
    const earlier = this.attempts.get(request.id) ?? [];
    this.attempts.set(request.id, [...earlier, request]);
    return given.answers[Math.min(earlier.length, given.answers.length - 1)](request);
  };

  /** Sends the requests of all cases to a gateway, several at a time. */
  async sendAll(gateway: builder.GatewayBuilder): Promise<readonly Result[]> {
    const results: Result[] = [];
    const queue = [...this.cases];
    const work = async () => {
      for (let given = queue.shift(); given !== undefined; given = queue.shift()) {
        const answer = await send(gateway, given);
        results.push({ given, answer, attempts: this.attempts.get(given.id) ?? [] });
      }
    };
    await Promise.all(Array.from({ length: LANES }, work));
    assert.is(results.length, this.cases.length);
    return results;
  }
}

/** Runs the cases through one gateway with servers that answer them. */
export async function runCases(cases: readonly Case[]): Promise<readonly Result[]> {
  const answers = new CaseAnswers(cases, ({ id }) => rawServer.success(id));
  const servers = SERVERS.map((id) => new rawServer.RawServer(id, answers.answer));
  const gateway = buildGateway(servers);
  let results: readonly Result[] = [];
  await gateway.run(async () => {
    results = await answers.sendAll(gateway);
  });
  return results;
}

/** A gateway whose retries and times do not decide what the cases show. */
export function buildGateway(
  servers: readonly builder.TestServer[],
  changes: object = {},
): builder.GatewayBuilder {
  const none = undefined;
  const all = { retryLimits: RETRY_LIMITS, limits: CALLER_LIMITS, ...changes };
  return new builder.GatewayBuilder(servers, builder.document(20_000), none, none, none, all);
}

async function send(
  gateway: builder.GatewayBuilder,
  { id, kind }: Case,
): Promise<builder.Answer | undefined> {
  const headers = { 'x-figline-request-id': id, 'x-figline-deadline-ms': '15000' };
  try {
    return await gateway.send('POST', `${kind}${id}`, headers);
  } catch {
    return undefined;
  }
}

/**
 * Checks one result: a complete success has the proof and all of the body, nothing else of it reaches the caller, and 503 is
 * sent only if no server has received the request.
 */
export function check(
  { given, answer, attempts }: Result,
  isWhole: (text: string) => boolean,
): void {
  const { name, kind } = given;
  const got = answer === undefined ? 'no answer' : `${answer.status} ${answer.text}`;
  assert.ok(attempts.length > 0, `${name}: no server received the request; the caller got ${got}`);
  if (answer === undefined) {
    return;
  }
  const seen = `${name}: ${answer.status} ${JSON.stringify(answer.text)} after ${attempts.length} attempts`;
  if (answer.status >= 300) {
    assert.ok([502, 504].includes(answer.status), seen);
    assert.is(answer.headers['x-figline-response-seal'], undefined, seen);
    return;
  }
  assert.is(answer.status, 200, seen);
  assert.is(answer.headers['x-figline-response-seal'], 's', seen);
  assert.ok(answer.isComplete ? isWhole(answer.text) : bodyOf(kind).startsWith(answer.text), seen);
}

let lastId = 0;

/** As long as every id. */
export const ID_PATTERN = 'c000000';

function nextId(): string {
  lastId += 1;
  return `c${String(lastId).padStart(6, '0')}`;
}

export function range(from: number, to: number): number[] {
  return Array.from({ length: Math.max(0, to - from) }, (_, index) => from + index);
}

/** A broken answer at each place where its bytes can end before they are whole. */
export interface Cuts {
  readonly name: string;
  readonly kind: Kind;
  readonly ending: Ending;
  readonly places: readonly number[];
  readonly bytesOf: (id: string) => string;
  /** Answers of the later attempts; without them each attempt is cut. */
  readonly later?: (id: string) => readonly rawServer.RawAnswer[];
}

export function cutCases({ name, kind, ending, places, bytesOf, later }: Cuts): Case[] {
  return places.map((place) => {
    const id = nextId();
    const bytes = bytesOf(id).slice(0, place);
    const cut: rawServer.RawAnswer = () => ({ bytes, then: ending });
    const answers = [cut, ...(later?.(id) ?? [])];
    return { id, name: `${kind} with ${name}, ${ending} at byte ${place}`, kind, answers };
  });
}

export function isRepeated(kind: Kind): boolean {
  return kind === Kind.ResumableStream || kind === Kind.Idempotent;
}

/** The places at which an answer of a framing can break off so that it is known not to be whole. */
export function placesOf(framing: Framing, kind: Kind, ending: Ending): number[] {
  const headLength = headOf(ID_PATTERN, framing, kind).length;
  // An orderly end behind the head is the end of an answer without a length.
  return isCloseDelimited(framing) && ending === 'end'
    ? range(0, headLength)
    : range(0, headLength + framedBody(framing, kind).length);
}

export function everyNth(places: readonly number[], step: number): number[] {
  return places.filter((_, index) => index % step === 0);
}
