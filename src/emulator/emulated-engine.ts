import type * as http from 'node:http';
import * as zod from 'zod';
import * as backend from '../backend';
import * as clock from '../clock';
import * as completionFormat from './completion-format';
import * as emulatedServer from './emulated-server';
import * as engineOptions from './engine-options';
import * as engineState from './engine-state';
import * as eventWriter from './event-writer';
import * as fault from './fault';
import * as generation from './generation';
import * as exportedBlock from './exported-block';
import * as receivedRequest from './received-request';
import * as weightStore from './weight-store';
import * as wholeAnswer from './whole-answer';

/** Report on the requests that the engine executed. */
export interface EngineReport extends emulatedServer.ServerReport {
  readonly weightsVersion: string;
  readonly runningRequests: number;
  readonly cachedBlocks: number;
  /** Generations that were stopped by a cancel call or a closed connection. */
  readonly cancelled: number;
  /** Prompt tokens that had to be computed. */
  readonly prefilledTokens: number;
  readonly cachedTokens: number;
}

interface RunningAttempt {
  readonly stop: () => void;
}

/**
 * An engine with continuous batching, a prefix cache of limited size, and the faults of its fault plan.
 *
 * @example
 * const engine = new EmulatedEngine({ decodeTokensPerSecond: 1_000 });
 * await engine.listen();
 */
export class EmulatedEngine extends emulatedServer.EmulatedServer {
  /** Factor on all durations of the engine; above 1 the engine is a straggler. */
  slowdown = 1;

  private readonly options: engineOptions.EngineOptions;

  private state: engineState.EngineState;

  private readonly attempts = new Map<string, RunningAttempt>();

  private cancelled = 0;

  private prefilledTokens = 0;

  private cachedTokens = 0;

  constructor(
    options: engineOptions.EngineOptionsInput = {},
    time: clock.Clock = new clock.SystemClock(),
    private readonly weights: weightStore.WeightStore = new weightStore.WeightStore(time),
  ) {
    super(time);
    this.options = engineOptions.engineOptionsSchema.parse(options);
    this.state = this.emptyState();
  }

  override async listen(port = 0): Promise<void> {
    await super.listen(port);
    this.state = this.emptyState();
  }

  override report(): EngineReport {
    return {
      ...super.report(),
      weightsVersion: this.state.weightsVersion,
      runningRequests: this.state.slots.running,
      cachedBlocks: this.state.cache.blocks,
      cancelled: this.cancelled,
      prefilledTokens: this.prefilledTokens,
      cachedTokens: this.cachedTokens,
    };
  }

  /** Replaces the weights at once and clears the cache, as an operator may do without the router. */
  replaceWeights(weightsVersion: string): void {
    this.state.cache.clear();
    this.state.weightsVersion = weightsVersion;
  }

  override adjust(name: string, body: unknown): boolean {
    if (name === 'slowdown') {
      this.slowdown = slowdownSchema.parse(body).factor;
      return true;
    }
    if (name === 'weights') {
      this.replaceWeights(weightsSchema.parse(body).weightsVersion);
      return true;
    }
    return super.adjust(name, body);
  }

  protected override loadReport(): backend.LoadReport {
    return this.state.loadReport(this.options.loadLagMilliseconds);
  }

  protected override probeReport(): backend.ProbeReport {
    return { ...super.probeReport(), loading: this.state.loadingWeights };
  }

  protected override weightsVersion(): string {
    return this.state.weightsVersion;
  }

  protected override dropState(): void {
    super.dropState();
    [...this.attempts.values()].forEach((attempt) => attempt.stop());
    this.attempts.clear();
    this.state = this.emptyState();
  }

  protected override async handle(
    request: receivedRequest.ReceivedRequest,
    response: http.ServerResponse,
  ): Promise<wholeAnswer.WholeAnswer | undefined> {
    switch (request.path) {
      case '/v1/chat/completions':
      case '/v1/completions':
        return this.complete(request, response);
      case '/backend/cancel':
        return this.cancel(request);
      case '/backend/cache-events':
        return this.cacheEvents(request);
      case '/backend/orders':
        return this.order(request);
      case '/backend/kv/export':
        return this.exportBlock(request);
      case '/backend/kv/import':
        return this.importBlock(request);
      default:
        return { status: 404, body: { error: { code: 'unknown_path' } } };
    }
  }

  private emptyState(): engineState.EngineState {
    const { weightsVersion } = this.options;
    return new engineState.EngineState(this.incarnation, weightsVersion, this.options, this.time);
  }

  private async complete(
    request: receivedRequest.ReceivedRequest,
    response: http.ServerResponse,
  ): Promise<wholeAnswer.WholeAnswer | undefined> {
    const input = completionFormat.parseCompletion(request.path, receivedRequest.json(request));
    if (input === undefined) {
      return { status: 400, body: { error: { code: 'invalid_body' } } };
    }
    const refused = this.refusal(request);
    if (refused !== undefined) {
      return refused;
    }
    if (this.options.crashMarker !== '' && input.prompt.includes(this.options.crashMarker)) {
      await this.crashAndRestart();
      return undefined;
    }
    const lost = this.faults.takeNext(request.path, ...LOST_ANSWER_FAULTS);
    if (lost === undefined) {
      this.startAttempt(request, response, input);
    } else if (lost.kind === fault.FaultKind.ResetAfterBody) {
      response.socket?.resetAndDestroy();
    }
    return undefined;
  }

  private refusal(request: receivedRequest.ReceivedRequest): wholeAnswer.WholeAnswer | undefined {
    const requestedWeights = receivedRequest.header(request, backend.HeaderName.WeightsVersion);
    const requestedModel = receivedRequest.header(request, backend.HeaderName.Model);
    if (this.state.loadingWeights) {
      return wholeAnswer.refusal(503, 'loading_weights');
    }
    if (requestedModel !== '' && requestedModel !== this.options.model) {
      return wholeAnswer.refusal(409, 'other_model');
    }
    if (requestedWeights !== '' && requestedWeights !== this.state.weightsVersion) {
      return wholeAnswer.refusal(409, 'other_weights');
    }
    const full = this.state.slots.queued >= this.options.maximumQueue;
    return full ? wholeAnswer.refusal(429, 'queue_full') : undefined;
  }

  private async crashAndRestart(): Promise<void> {
    await this.crash();
    if (this.options.restartMilliseconds >= 0) {
      await this.time.sleep(this.options.restartMilliseconds);
      await this.restart();
    }
  }

  private startAttempt(
    request: receivedRequest.ReceivedRequest,
    response: http.ServerResponse,
    input: completionFormat.CompletionInput,
  ): void {
    const { state } = this;
    const attemptId =
      receivedRequest.header(request, backend.HeaderName.AttemptId) || request.requestId;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      [backend.HeaderName.RequestId]: this.echoedId(request),
      [backend.HeaderName.Incarnation]: state.incarnation,
      [backend.HeaderName.WeightsVersion]: state.weightsVersion,
    });
    response.flushHeaders();
    const { commentMilliseconds } = this.options;
    const writer = new eventWriter.EventWriter(response, commentMilliseconds, this.time);
    const run = new generation.Generation(
      this.plan(request, input),
      writer,
      response,
      this.faults,
      this.time,
    );
    const promptTokens = estimateTokens(input.prompt);
    state.queuedPrefillTokens += promptTokens;
    let finished = false;
    const priority = Number(receivedRequest.header(request, backend.HeaderName.Priority)) || 0;
    const leaveSlot = state.slots.enter(priority, () => {
      // `enter` may call this before it has returned `leaveSlot`, so the request starts in the next turn.
      setImmediate(async () => {
        state.queuedPrefillTokens -= promptTokens;
        await this.prefill(request, promptTokens, writer, state);
        await run.run();
        finished = true;
        finish();
      });
    });
    const finish = () => {
      leaveSlot();
      this.attempts.delete(attemptId);
      state.recordLoad();
    };
    const stop = () => {
      if (!finished) {
        finished = true;
        this.cancelled += 1;
        run.stop();
        finish();
      }
    };
    this.attempts.set(attemptId, { stop: () => response.destroy() });
    response.once('close', stop);
    response.once('close', () => writer.stop());
    state.recordLoad();
  }

  private plan(
    request: receivedRequest.ReceivedRequest,
    input: completionFormat.CompletionInput,
  ): generation.GenerationPlan {
    return {
      path: request.path,
      text: this.text(input, this.state.weightsVersion),
      otherText: this.text(input, 'other weights'),
      resumeFrom: Number(receivedRequest.header(request, backend.HeaderName.ResumeFrom)) || 0,
      pieceMilliseconds: () => (1_000 / this.options.decodeTokensPerSecond) * this.slowdown,
    };
  }

  private text(
    input: completionFormat.CompletionInput,
    weightsVersion: string,
  ): completionFormat.CompletionText {
    const words = completionFormat.generateWords(input.prompt, weightsVersion, input.outputTokens);
    return {
      id: `cmpl-${(words[0] ?? '[]').slice(1, -2)}`,
      chat: input.chat,
      model: this.options.model,
      words,
      promptTokens: estimateTokens(input.prompt),
    };
  }

  /** A request that names no team uses and keeps no blocks: the absence of a team must not be one that all share. */
  private async prefill(
    request: receivedRequest.ReceivedRequest,
    promptTokens: number,
    writer: eventWriter.EventWriter,
    state: engineState.EngineState,
  ): Promise<void> {
    const owner = {
      team: receivedRequest.header(request, backend.HeaderName.Team),
      weightsVersion: state.weightsVersion,
    };
    const chain = owner.team === '' ? [] : prefixChainOf(request);
    const blocks = state.cache.lookUp(owner, chain);
    const cachedTokens = Math.min(promptTokens, blocks * this.options.blockTokens);
    this.cachedTokens += cachedTokens;
    this.prefilledTokens += promptTokens - cachedTokens;
    writer.event('head', { cachedTokens, promptTokens });
    const seconds = (promptTokens - cachedTokens) / this.options.prefillTokensPerSecond;
    await this.time.sleep(seconds * 1_000 * this.slowdown);
    state.cache.store(owner, chain);
    state.recordLoad();
  }

  private cancel(request: receivedRequest.ReceivedRequest): wholeAnswer.WholeAnswer {
    const parsed = cancelSchema.safeParse(receivedRequest.json(request));
    const attempt = parsed.success ? this.attempts.get(parsed.data.attemptId) : undefined;
    attempt?.stop();
    return { status: 200, body: { found: attempt !== undefined } };
  }

  private cacheEvents(request: receivedRequest.ReceivedRequest): wholeAnswer.WholeAnswer {
    this.state.cache.evictOld();
    const after = Number(request.query.get('after') ?? 0) || 0;
    return { status: 200, body: this.state.events.page(this.state.incarnation, after) };
  }

  private order(request: receivedRequest.ReceivedRequest): wholeAnswer.WholeAnswer {
    const parsed = orderSchema.safeParse(receivedRequest.json(request));
    if (!parsed.success) {
      return { status: 400, body: { error: { code: 'invalid_order' } } };
    }
    const { kind, fencingNumber, value } = parsed.data;
    if (this.options.checksFencing && fencingNumber < this.state.highestFencingNumber) {
      return { status: 409, body: { outcome: backend.OrderOutcome.StaleFencingNumber } };
    }
    const highest = Math.max(this.state.highestFencingNumber, fencingNumber);
    this.state.highestFencingNumber = highest;
    this.carryOut(kind, value);
    return { status: 202, body: { outcome: backend.OrderOutcome.Accepted } };
  }

  private carryOut(kind: backend.OrderKind, value: string): void {
    if (kind === backend.OrderKind.LoadWeights) {
      this.loadWeights(value);
    } else if (kind === backend.OrderKind.LoadAdapter) {
      this.state.adapters.add(value);
    } else {
      this.state.role = value;
    }
  }

  private async loadWeights(weightsVersion: string): Promise<void> {
    const { state } = this;
    state.loadingWeights = true;
    await this.weights.load();
    state.cache.clear();
    state.weightsVersion = weightsVersion;
    state.loadingWeights = false;
  }

  private exportBlock(request: receivedRequest.ReceivedRequest): wholeAnswer.WholeAnswer {
    const block = exportedBlock.exportedBlock(request);
    if (block === undefined) {
      return { status: 400, body: { error: { code: 'invalid_block' } } };
    }
    const cached = this.state.cache.lookUp(block, block.prefixChain);
    return cached < block.prefixChain.length
      ? { status: 404, body: { error: { code: 'not_cached' } } }
      : { status: 200, body: block };
  }

  /** The team in the headers must own the block, and the block must have the weights version of the engine. */
  private importBlock(request: receivedRequest.ReceivedRequest): wholeAnswer.WholeAnswer {
    const block = exportedBlock.exportedBlock(request);
    if (block === undefined) {
      return { status: 400, body: { error: { code: 'invalid_block' } } };
    }
    if (block.team !== receivedRequest.header(request, backend.HeaderName.Team)) {
      return wholeAnswer.refusal(409, 'other_team');
    }
    if (block.weightsVersion !== this.state.weightsVersion) {
      return wholeAnswer.refusal(409, 'other_weights');
    }
    this.state.cache.store(block, block.prefixChain);
    return { status: 200, body: { blocks: block.prefixChain.length } };
  }
}

function prefixChainOf(request: receivedRequest.ReceivedRequest): readonly string[] {
  return receivedRequest
    .header(request, backend.HeaderName.PrefixChain)
    .split(',')
    .filter((chainHash) => chainHash !== '');
}

/** Usual ratio for English text; the emulated engine has no tokenizer. */
const CHARACTERS_PER_TOKEN = 4;

function estimateTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}

const LOST_ANSWER_FAULTS = [fault.FaultKind.ResetAfterBody, fault.FaultKind.NoAnswer];

const cancelSchema = zod.object({ attemptId: zod.string().min(1) });

const slowdownSchema = zod.object({ factor: zod.number().positive() });
const weightsSchema = zod.object({ weightsVersion: zod.string().min(1) });

const orderSchema = zod.object({
  kind: zod.enum(backend.OrderKind),
  fencingNumber: zod.int().min(0),
  value: zod.string().min(1),
});
