import type * as latencyMeasurement from './latency-measurement';

/** A plan whose duration and rounds are set on the command line. */
export type TimedPlan = Omit<latencyMeasurement.LatencyPlan, 'rounds' | 'seconds'>;

const SHORT_PROMPT = [200, 200, 100] as const;
const LONG_PROMPT = [2_000, 3_000, 5_000] as const;

/** Added latency: short prompts show the cost of the daemon alone, long ones that of present prompts. */
export const LATENCY_PLANS: readonly TimedPlan[] = [
  { ratePerSecond: 50, outputTokens: 16, promptTokens: SHORT_PROMPT },
  { ratePerSecond: 200, outputTokens: 16, promptTokens: SHORT_PROMPT },
  { ratePerSecond: 500, outputTokens: 16, promptTokens: SHORT_PROMPT },
  { ratePerSecond: 50, outputTokens: 16, promptTokens: LONG_PROMPT },
  { ratePerSecond: 200, outputTokens: 16, promptTokens: LONG_PROMPT },
];

/** Two lengths of answers at the same rate, which separate the cost of a token from that of a request. */
export const RELAY_PLANS: readonly TimedPlan[] = [
  { ratePerSecond: 40, outputTokens: 8, promptTokens: SHORT_PROMPT },
  { ratePerSecond: 40, outputTokens: 128, promptTokens: SHORT_PROMPT },
];
