import * as perfHooks from 'node:perf_hooks';
import * as clock from '../clock';
import * as arrivals from './arrivals';
import * as loadRecorder from './load-recorder';
import * as loadSummary from './load-summary';
import * as requestMix from './request-mix';
import * as requestSender from './request-sender';

/** Options of one run. */
export interface LoadOptions extends arrivals.ArrivalPlan, requestMix.MixOptions {
  /** Base URLs, used in turn. */
  readonly targets: readonly string[];
  readonly credential: string;
  /** Requests that would exceed it are counted as failed, so that memory stays bounded. */
  readonly maximumInFlight: number;
  readonly requestTimeoutMilliseconds: number;
  readonly seed: number;
}

/**
 * Sends the planned requests at their times, whether or not earlier ones are answered, and resolves when the
 * last one has ended. A run lasts at most its duration plus one request timeout.
 *
 * @example
 * const summary = await runLoad({ ...options, targets: ['http://127.0.0.1:8080'] });
 */
export async function runLoad(options: LoadOptions): Promise<loadSummary.LoadSummary> {
  const recorder = new loadRecorder.LoadRecorder();
  const { targets, credential, requestTimeoutMilliseconds } = options;
  const sender = new requestSender.RequestSender(
    targets,
    credential,
    requestTimeoutMilliseconds,
    recorder,
  );
  const startedAt = perfHooks.performance.now();
  const usageBefore = process.cpuUsage();
  const sent = await sendAll(options, sender, recorder, startedAt);
  const seconds = (perfHooks.performance.now() - startedAt) / 1_000;
  const { user, system } = process.cpuUsage(usageBefore);
  await sender.close();
  return loadSummary.summarise(
    recorder,
    sent,
    seconds,
    (user + system) / MICROSECONDS_PER_SECOND / seconds,
  );
}

const MICROSECONDS_PER_SECOND = 1_000_000;

async function sendAll(
  options: LoadOptions,
  sender: requestSender.RequestSender,
  recorder: loadRecorder.LoadRecorder,
  startedAt: number,
): Promise<number> {
  const random = new clock.SeededRandomSource(options.seed);
  const mix = new requestMix.RequestMix(options, random);
  const times = arrivals.planArrivals(options, random);
  const inFlight = new Set<Promise<void>>();
  for (const at of times) {
    await sleepUntil(startedAt + at);
    loadRecorder.record(recorder.lateness, perfHooks.performance.now() - startedAt - at);
    if (inFlight.size >= options.maximumInFlight) {
      recorder.fail('not-sent', 'too_many_in_flight');
    } else {
      const exchange = sender.send(mix.next()).finally(() => inFlight.delete(exchange));
      inFlight.add(exchange);
    }
  }
  await Promise.all(inFlight);
  return times.length;
}

/** Timers have a resolution of 1 ms, so that requests may be sent up to 1 ms early. */
async function sleepUntil(at: number): Promise<void> {
  const wait = at - perfHooks.performance.now();
  if (wait >= 1) {
    await new Promise((resolve) => {
      setTimeout(resolve, Math.floor(wait));
    });
  }
}
