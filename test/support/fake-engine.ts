import * as results from 'ts-results';
import * as backend from '../../src/backend';
import * as verdict from '../../src/verdict';
import * as fakeEngineStream from './fake-engine-stream';

/** Behaviour of a fake engine for one request. */
export interface EngineBehaviour {
  /** Numbers of the pieces sent; the last word ends the stream. */
  readonly pieces?: readonly number[];
  /** Failure after the pieces. */
  readonly breaksWith?: verdict.RequestFailure;
  /** Failure with which the request is refused. */
  readonly refusesWith?: verdict.RequestFailure;
  /** Delay before each piece. */
  readonly delayMilliseconds?: number;
  /** Length of the padding in each piece, to fill the caller's connection. */
  readonly pieceLength?: number;
  /** Whether the connection stays open without further data after the pieces. */
  readonly isSilent?: boolean;
  /** Whether the answer has the id of another request. */
  readonly isCrossed?: boolean;
}

/** An engine with a list of behaviours, one for each request; it answers further requests normally. */
export class FakeEngine extends backend.ModelEngine {
  readonly requests: backend.EngineRequest[] = [];

  readonly events: backend.CacheEvent[] = [];

  /** The latest answer. */
  stream: fakeEngineStream.FakeEngineStream | undefined;

  /** Number of the piece that is `[DONE]`. */
  readonly length = 4;

  constructor(
    readonly machine: backend.MachineRecord,
    private readonly behaviours: EngineBehaviour[] = [],
  ) {
    super();
  }

  override async start(
    request: backend.EngineRequest,
  ): Promise<results.Result<backend.EngineStream, verdict.RequestFailure>> {
    this.requests.push(request);
    const behaviour = this.behaviours.shift() ?? {};
    if (behaviour.refusesWith !== undefined) {
      return new results.Err(behaviour.refusesWith);
    }
    const head = {
      requestId: behaviour.isCrossed === true ? 'another-request' : request.requestId,
      incarnation: 'a',
      weightsVersion: request.weightsVersion,
      cachedTokens: 0,
      promptTokens: 10,
    };
    const numbers = behaviour.pieces ?? this.numbersFrom(request.resumeFrom);
    const padding = ' '.repeat(behaviour.pieceLength ?? 0);
    const pieces = numbers.map(
      (number) => new results.Ok({ number, data: this.dataOf(number, request.requestId, padding) }),
    );
    const ending =
      behaviour.breaksWith === undefined ? [] : [new results.Err(behaviour.breaksWith)];
    this.stream = new fakeEngineStream.FakeEngineStream(
      head,
      [...pieces, ...ending],
      behaviour.delayMilliseconds ?? 0,
      behaviour.isSilent,
    );
    return new results.Ok(this.stream);
  }

  override async load(): Promise<results.Result<backend.LoadReport, verdict.RequestFailure>> {
    return new results.Err(UNAVAILABLE);
  }

  override async cacheEvents(
    after: number,
  ): Promise<results.Result<backend.CacheEventPage, verdict.RequestFailure>> {
    const events = this.events.filter((event) => event.sequence > after);
    const nextSequence = events.at(-1)?.sequence ?? after;
    return new results.Ok({ incarnation: 'a', events, nextSequence });
  }

  override async order(): Promise<results.Result<backend.OrderOutcome, verdict.RequestFailure>> {
    return new results.Err(UNAVAILABLE);
  }

  override async probe(): Promise<results.Result<backend.ProbeReport, verdict.RequestFailure>> {
    return new results.Ok({ incarnation: 'a', weightsVersion: 'v1', leaving: false });
  }

  override async close(): Promise<void> {}

  private numbersFrom(first: number): readonly number[] {
    return Array.from({ length: this.length + 1 - first }, (_, index) => first + index);
  }

  private dataOf(number: number, requestId: string, padding: string): string {
    const choices = [{ index: 0, delta: { content: `word ${number} ` }, finish_reason: null }];
    const chunk = {
      id: requestId,
      created: 1,
      model: 'sack-reader',
      word: number,
      choices,
      padding,
    };
    return number === this.length ? '[DONE]' : JSON.stringify(chunk);
  }
}

const UNAVAILABLE = verdict.failure(
  verdict.FailureReason.ConnectFailed,
  verdict.Verdict.NotRun,
  'The fake engine does not offer this.',
);
