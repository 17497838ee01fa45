import * as crypto from 'node:crypto';
import * as results from 'ts-results';
import * as backend from '../backend';
import * as configuration from '../configuration';
import * as decision from '../decision';
import * as prefix from '../prefix';
import * as verdict from '../verdict';
import type * as answerSink from './answer-sink';
import * as catalogModule from './catalog';
import type * as claimManager from './claim-manager';
import * as completionRequest from './completion-request';
import * as engineExecution from './engine-execution';
import type * as executionContext from './execution-context';
import * as idempotencyKey from './idempotency-key';
import * as plainExecution from './plain-execution';

/** A completions request of an authenticated team. */
export interface CompletionCall {
  readonly requestId: string;
  readonly team: configuration.TeamDocument;
  readonly path: completionRequest.CompletionPath;
  readonly request: completionRequest.CompletionRequest;
}

/** A request for a plain service of an authenticated team. */
export interface ServiceCall {
  readonly requestId: string;
  readonly team: configuration.TeamDocument;
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
}

/** The answer of a plain service; `isReplay` if it is the recorded answer of an earlier attempt. */
export interface ServiceAnswer extends backend.PlainAnswer {
  readonly isReplay: boolean;
}

/** A started request. Call `cancel` when the caller has disconnected. */
export interface StartedCall<Value> {
  readonly result: Promise<results.Result<Value, verdict.RequestFailure>>;
  cancel(): void;
}

/** Entry point of the package: turns the requests of teams into executions of the decision task. */
export class Router {
  private current: catalogModule.Catalog;

  constructor(
    private readonly context: executionContext.ExecutionContext,
    private readonly claims: claimManager.ClaimManager,
    private readonly hasher: Pick<prefix.ChainHasher, 'chain'>,
    snapshot: configuration.ConfigurationSnapshot,
    private readonly maximumQueuedRequests: number,
  ) {
    this.current = new catalogModule.Catalog(snapshot, this.context.isCopyRecent);
    this.feedConfiguration(snapshot);
  }

  /** Lookups in the active configuration. */
  get catalog(): catalogModule.Catalog {
    return this.current;
  }

  /** Requests that are queued or running. */
  get activeRequests(): number {
    return this.context.task.activeRequests;
  }

  /** Numbers of requests that wait in queues and that run at backend servers. */
  requestCounts(): { readonly queued: number; readonly running: number } {
    const running = this.context.task.runningRequests;
    return { queued: this.activeRequests - running, running };
  }

  /** Activates a configuration with a higher revision; ignores any other. */
  applyConfiguration(snapshot: configuration.ConfigurationSnapshot): void {
    if (snapshot.revision > this.current.revision) {
      this.current = new catalogModule.Catalog(snapshot, this.context.isCopyRecent);
      this.feedConfiguration(snapshot);
    }
  }

  /**
   * Starts a generation request whose pieces go to `sink`.
   *
   * @returns a function to call when the caller has disconnected, or the failure when nothing was started
   */
  startCompletion(
    call: CompletionCall,
    sink: answerSink.AnswerSink,
  ): results.Result<() => void, verdict.RequestFailure> {
    if (this.isFull()) {
      return new results.Err(QUEUES_FULL);
    }
    const prompt = prefix.canonicalPrompt(call.request);
    const resolved = this.current.resolveIntent(call.team, call.request.model);
    return results.Result.all(resolved, prompt).map(([target, bytes]) => {
      const engineCall = this.engineCall(call, target, bytes);
      const execution = new engineExecution.EngineExecution(engineCall, this.context, sink);
      this.context.task.submit(execution);
      return () => execution.cancel();
    });
  }

  /** Starts a request for a plain service. */
  startService(call: ServiceCall): StartedCall<ServiceAnswer> {
    const resolved = this.current.resolveRoute(call.team, call.method, call.path);
    if (resolved.err) {
      return failedCall(resolved.val);
    }
    if (this.isFull()) {
      return failedCall(QUEUES_FULL);
    }
    const { route } = resolved.val;
    const execution = new plainExecution.PlainExecution(
      this.plainCall(call, resolved.val),
      this.context,
    );
    if (route.idempotent) {
      this.context.task.submit(execution);
      return { result: answerOf(execution), cancel: () => execution.cancel() };
    }
    const refusal = keyFailure(route, call.idempotencyKey);
    if (refusal !== undefined) {
      return failedCall(refusal);
    }
    if (call.idempotencyKey === undefined) {
      this.context.task.submit(execution);
      return { result: answerOf(execution), cancel: () => execution.cancel() };
    }
    const { team, requestId } = call;
    const claim = {
      team: team.name,
      key: idempotencyKey.canonicalKey(call.idempotencyKey, route.key.format),
      attemptId: requestId,
      fingerprint: fingerprintOf(call),
      keyFormat: route.key.format,
    };
    return this.runClaimed(claim, execution);
  }

  /** The cheap comparison comes first, since counting is slow when there are many requests. */
  private isFull(): boolean {
    return (
      this.activeRequests >= this.maximumQueuedRequests &&
      this.requestCounts().queued >= this.maximumQueuedRequests
    );
  }

  /** Claims the key before the request is queued, so that a resend gets its answer without a free server. */
  private runClaimed(
    identity: claimManager.ClaimRequest,
    execution: plainExecution.PlainExecution,
  ): StartedCall<ServiceAnswer> {
    let isCancelled = false;
    const run = async (): Promise<results.Result<ServiceAnswer, verdict.RequestFailure>> => {
      const claimed = await this.claims.claim(identity);
      if (claimed.err) {
        return claimed;
      }
      if (claimed.val !== undefined) {
        return new results.Ok({ ...claimed.val, isReplay: true });
      }
      this.context.task.submit(execution);
      if (isCancelled) {
        execution.cancel();
      }
      return this.endClaim(identity, await execution.result);
    };
    return {
      result: run(),
      cancel: () => {
        isCancelled = true;
        execution.cancel();
      },
    };
  }

  private async endClaim(
    identity: claimManager.ClaimIdentity,
    result: results.Result<backend.PlainAnswer, verdict.RequestFailure>,
  ): Promise<results.Result<ServiceAnswer, verdict.RequestFailure>> {
    if (result.ok) {
      await this.claims.complete(identity, result.val);
      return new results.Ok({ ...result.val, isReplay: false });
    }
    if (result.val.verdict === verdict.Verdict.NotRun) {
      this.claims.abandon(identity);
    }
    return result;
  }

  private engineCall(
    call: CompletionCall,
    { intent, service }: catalogModule.ResolvedIntent,
    prompt: Uint8Array,
  ): engineExecution.EngineCall {
    const { model } = service;
    const weightsVersion = this.context.servingWeights?.(service) ?? service.weightsVersion;
    const identity = { team: call.team.name, model, weightsVersion };
    const body = JSON.stringify(engineBody(call.request, model));
    const profile: decision.RequestProfile = {
      requestId: call.requestId,
      team: call.team.name,
      service: service.name,
      weightsVersion,
      class: intent.class,
      prefixChain: this.hasher.chain(identity, prompt),
      promptTokens: prefix.estimateTokens(prompt),
      expectedOutputTokens:
        completionRequest.outputLimit(call.request) ?? intent.expectedOutputTokens,
      idempotent: true,
      priority: intent.priority,
      firstTokenDeadline: this.context.task.now() + intent.firstTokenMilliseconds,
      fingerprint: hashOf(call.team.name, call.path, body),
    };
    return { profile, path: call.path, body, model, weightsVersion };
  }

  private plainCall(
    call: ServiceCall,
    { service, route }: configuration.RouteMatch,
  ): plainExecution.PlainCall {
    const { timeoutMilliseconds } = route;
    const profile: decision.RequestProfile = {
      requestId: call.requestId,
      team: call.team.name,
      service: service.name,
      class: configuration.RequestClass.Short,
      prefixChain: [],
      promptTokens: 0,
      expectedOutputTokens: 0,
      idempotent: route.idempotent,
      priority: 0,
      firstTokenDeadline: this.context.task.now() + timeoutMilliseconds,
      fingerprint: fingerprintOf(call),
    };
    const { method, path, headers, body } = call;
    return { profile, method, path, headers, body, timeoutMilliseconds };
  }

  private feedConfiguration(snapshot: configuration.ConfigurationSnapshot): void {
    const { task } = this.context;
    task.feed({
      kind: decision.DecisionEventKind.ConfigurationChanged,
      at: task.now(),
      snapshot,
    });
  }
}

const { FailureReason, Verdict } = verdict;

const QUEUES_FULL = verdict.failure(
  FailureReason.Overloaded,
  Verdict.NotRun,
  'The queues of this router are full; the request was not sent.',
  { retryAfterMilliseconds: 1_000 },
);

const KEY_MISSING = verdict.failure(
  FailureReason.KeyInvalid,
  Verdict.NotRun,
  'This route needs an Idempotency-Key header.',
);

const KEY_MALFORMED = verdict.failure(
  FailureReason.KeyInvalid,
  Verdict.NotRun,
  'The Idempotency-Key header does not have the format of this route.',
);

function keyFailure(
  route: configuration.RouteDocument,
  key: string | undefined,
): verdict.RequestFailure | undefined {
  if (key === undefined) {
    return route.key.requirement === configuration.KeyRequirement.Required
      ? KEY_MISSING
      : undefined;
  }
  return idempotencyKey.isValidKey(key, route.key.format) ? undefined : KEY_MALFORMED;
}

/** Engines always stream. A non-streaming answer has token counts, which a stream has only on request. */
function engineBody(request: completionRequest.CompletionRequest, model: string): object {
  const usage = request.stream === true ? {} : { stream_options: { include_usage: true } };
  return { ...request, ...usage, model, stream: true };
}

function fingerprintOf(call: ServiceCall): string {
  return hashOf(call.team.name, `${call.method} ${call.path}`, call.body);
}

/** SHA-256 over the parts, each after its length, so that different lists never give the same input. */
function hashOf(...parts: readonly (string | Uint8Array)[]): string {
  const hash = crypto.createHash('sha256');
  parts.forEach((part) => {
    hash.update(`${Buffer.byteLength(part)}:`);
    hash.update(part);
  });
  return hash.digest('hex');
}

function failedCall<Value>(failure: verdict.RequestFailure): StartedCall<Value> {
  return { result: Promise.resolve(new results.Err(failure)), cancel: () => {} };
}

async function answerOf(
  execution: plainExecution.PlainExecution,
): Promise<results.Result<ServiceAnswer, verdict.RequestFailure>> {
  return (await execution.result).map((answer) => ({ ...answer, isReplay: false }));
}
