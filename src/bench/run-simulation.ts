import * as prefix from '../prefix';
import * as verdict from '../verdict';
import * as deployment from './deployment';
import * as fakeEngine from './fake-engine';
import type * as outcome from './outcome';
import * as simulation from './simulation';
import type * as strategy from './strategy';
import type * as workload from './workload';

/** One run of one strategy. */
export interface RunOptions {
  readonly cluster: deployment.Deployment;
  readonly strategy: strategy.Strategy;
  readonly requests: readonly workload.BenchRequest[];
  readonly seed: number;
  readonly untilMilliseconds: number;
  /** Changes at fixed times, such as the slowdown of an engine. */
  readonly incidents?: readonly Incident[];
  /** The request that a caller sends after a failure, if any; its `at` is the time of the resend. */
  readonly resend?: (
    failed: workload.BenchRequest,
    now: number,
  ) => workload.BenchRequest | undefined;
}

export interface Incident {
  readonly at: number;
  readonly run: (engines: readonly fakeEngine.FakeEngine[], router: strategy.Strategy) => void;
}

/**
 * Runs a strategy on generated traffic in virtual time.
 *
 * @example
 * runSimulation({ cluster: ASSOCIACAO, strategy, requests, seed: 1, untilMilliseconds: 60_000 });
 */
export function runSimulation(options: RunOptions): outcome.RunResult {
  const { cluster, requests } = options;
  const router = options.strategy;
  const time = new simulation.Simulation();
  const outcomes = new Map<string, outcome.Outcome>();
  const prefills: outcome.PrefillRecord[] = [];
  const loads: outcome.LoadSample[] = [];
  const totals = { regionBytes: 0, totalBytes: 0, crashes: 0 };

  const onPrefill: fakeEngine.PrefillListener = (engine, job, depth) => {
    const deepestElsewhere = engines
      .filter((other) => other !== engine && other.alive)
      .reduce((deepest, other) => Math.max(deepest, other.cache.depth(job.chain)), depth);
    prefills.push({
      at: time.now,
      serverId: engine.id,
      promptTokens: job.promptTokens,
      cachedTokens: depth * prefix.TOKENS_PER_BLOCK,
      wastedTokens: (deepestElsewhere - depth) * prefix.TOKENS_PER_BLOCK,
    });
  };
  const engines: fakeEngine.FakeEngine[] = Array.from({ length: cluster.runners }, (_, index) => {
    const engine: fakeEngine.FakeEngine = new fakeEngine.FakeEngine(
      `runner-${index}`,
      deployment.zoneOf(cluster, index),
      cluster.engine,
      time,
      onPrefill,
      (hash, stored) => router.cacheChanged(engine, hash, stored),
    );
    return engine;
  });

  const send = (attempt: strategy.Attempt): (() => void) => {
    const { request, engine } = attempt;
    const record = outcomes.get(request.requestId)!;
    const oneWay = deployment.delay(cluster, request.zone, engine.zone);
    const bytes = request.promptTokens * prefix.BYTES_PER_TOKEN;
    record.attempts += 1;
    record.hedges += attempt.hedge ? 1 : 0;
    totals.totalBytes += bytes;
    totals.regionBytes += oneWay > 0 ? bytes : 0;
    let cancelled = false;
    let cancelJob = () => {};
    const back = (run: () => void) =>
      time.after(oneWay, () => {
        if (!cancelled) {
          run();
        }
      });
    time.after(oneWay, () => {
      if (cancelled) {
        return;
      }
      if (!engine.alive) {
        back(attempt.onLost);
        return;
      }
      const { incarnation } = engine;
      cancelJob = engine.submit({
        chain: request.chain,
        promptTokens: request.promptTokens,
        outputPieces: request.outputPieces,
        resumeFrom: attempt.resumeFrom,
        priority: request.long ? LONG_PRIORITY : SHORT_PRIORITY,
        poison: request.poison,
        onHead: (cached) => back(() => attempt.onHead?.(cached, incarnation)),
        onPiece: (nextPiece) =>
          back(() => {
            record.firstTokenAt ??= time.now + cluster.clientDelayMilliseconds;
            attempt.onPiece?.(nextPiece);
          }),
        onFinish: () =>
          back(() => {
            record.finishedAt ??= time.now + cluster.clientDelayMilliseconds;
            attempt.onFinish?.();
          }),
        onLost: () => back(attempt.onLost),
      });
    });
    return () => {
      cancelled = true;
      time.after(oneWay, () => cancelJob());
    };
  };

  const fail = (request: workload.BenchRequest, failure: verdict.RequestFailure) => {
    const record = outcomes.get(request.requestId)!;
    record.failedAt ??= time.now + cluster.clientDelayMilliseconds;
    record.failure ??= failure;
    const resent = options.resend?.(request, time.now);
    if (resent !== undefined) {
      arrive(resent);
    }
  };

  const environment: strategy.Environment = {
    time,
    cluster,
    engines,
    seed: options.seed,
    send,
    fail,
  };
  router.start(environment);
  requests.forEach(arrive);
  (options.incidents ?? []).forEach((incident) =>
    time.after(incident.at, () => incident.run(engines, router)),
  );
  monitorEngines();
  time.runUntil(options.untilMilliseconds);
  return { outcomes: [...outcomes.values()], prefills, loads, ...totals };

  function arrive(request: workload.BenchRequest): void {
    outcomes.set(request.requestId, { request, attempts: 0, hedges: 0 });
    const delay = request.at - time.now + cluster.clientDelayMilliseconds;
    time.after(delay, () => router.route(request));
  }

  /** Samples loads, and restarts crashed engines as the platform would. */
  function monitorEngines(): void {
    const isListed = engines.map(() => true);
    const sample = () => {
      loads.push({
        at: time.now,
        requests: engines.map((engine) => engine.runningRequests + engine.queuedRequests),
      });
      engines.forEach((engine, index) => {
        if (isListed[index] && !engine.alive) {
          isListed[index] = false;
          totals.crashes += 1;
          time.after(PROBE_MILLISECONDS, () => router.serversChanged());
          time.after(RESTART_MILLISECONDS, () => {
            engine.restart();
            isListed[index] = true;
            router.serversChanged();
          });
        }
      });
      time.after(SAMPLE_MILLISECONDS, sample);
    };
    time.after(SAMPLE_MILLISECONDS, sample);
  }
}

const SHORT_PRIORITY = 5;
const LONG_PRIORITY = 3;
const SAMPLE_MILLISECONDS = 100;
/** A probe on a new connection finds a crashed engine after about this time. */
const PROBE_MILLISECONDS = 300;
const RESTART_MILLISECONDS = 5_000;
