import * as loadRecorder from './load-recorder';

/** Result of one run. Durations are in milliseconds. */
export interface LoadSummary {
  readonly requests: number;
  readonly succeeded: number;
  /** By verdict and reason. */
  readonly failures: Readonly<Record<string, number>>;
  readonly tokens: number;
  readonly seconds: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly firstToken: loadRecorder.Distribution;
  readonly betweenTokens: loadRecorder.Distribution;
  readonly total: loadRecorder.Distribution;
  readonly plain: loadRecorder.Distribution;
  /** Delay between the planned and the actual sending of requests. */
  readonly lateness: loadRecorder.Distribution;
  /** Processor cores that the generator used. */
  readonly generatorCores: number;
}

/** Summarises the records of a run that lasted `seconds`. */
export function summarise(
  recorder: loadRecorder.LoadRecorder,
  requests: number,
  seconds: number,
  generatorCores: number,
): LoadSummary {
  return {
    requests,
    succeeded: recorder.succeeded,
    failures: recorder.failureCounts(),
    tokens: recorder.tokens,
    seconds,
    requestsPerSecond: requests / seconds,
    tokensPerSecond: recorder.tokens / seconds,
    firstToken: loadRecorder.distribution(recorder.firstToken),
    betweenTokens: loadRecorder.distribution(recorder.betweenTokens),
    total: loadRecorder.distribution(recorder.total),
    plain: loadRecorder.distribution(recorder.plain),
    lateness: loadRecorder.distribution(recorder.lateness),
    generatorCores,
  };
}

/** Formats the summary as a table. */
export function formatSummary(summary: LoadSummary): string {
  const row = (name: string, entry: loadRecorder.Distribution) =>
    [name.padEnd(16), cell(entry.count, 0)]
      .concat([entry.p50, entry.p90, entry.p99, entry.maximum].map((value) => cell(value, 2)))
      .join('');
  const failures = Object.entries(summary.failures).map(
    ([reason, count]) => `  ${reason}: ${count}`,
  );
  return [
    `${summary.succeeded} of ${summary.requests} requests succeeded in ${summary.seconds.toFixed(1)} s`,
    `${summary.requestsPerSecond.toFixed(1)} requests/s, ${summary.tokensPerSecond.toFixed(0)} tokens/s, ` +
      `generator ${summary.generatorCores.toFixed(2)} cores`,
    ['milliseconds'.padEnd(16), ...HEADINGS.map((heading) => heading.padStart(COLUMN))].join(''),
    row('first token', summary.firstToken),
    row('between tokens', summary.betweenTokens),
    row('whole answer', summary.total),
    row('plain', summary.plain),
    row('sent late', summary.lateness),
    ...(failures.length === 0 ? [] : ['failures by verdict and reason', ...failures]),
    '',
  ].join('\n');
}

const COLUMN = 11;
const HEADINGS = ['count', 'p50', 'p90', 'p99', 'maximum'];

function cell(value: number, digits: number): string {
  return value.toFixed(digits).padStart(COLUMN);
}
