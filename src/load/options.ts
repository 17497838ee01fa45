import { cac } from 'cac';
import * as results from 'ts-results';
import * as zod from 'zod';
import type * as runLoad from './run-load';

/** Parses the flags of `npm run load`; undefined after printing help. `Err` names each invalid flag. */
export function readOptions(
  commandArguments: readonly string[],
): results.Result<LoadFlags | undefined, readonly string[]> {
  const command = cac('load');
  Object.entries(FLAGS).forEach(([flag, [description, fallback]]) =>
    command.option(`--${flag} <value>`, description, { default: fallback }),
  );
  command.option('--json', 'Print one JSON line instead of a table');
  command.help();
  const { options } = command.parse(['node', 'load', ...commandArguments]);
  if (options.help) {
    return results.Ok(undefined);
  }
  const parsed = flagSchema.safeParse(options);
  return parsed.success
    ? results.Ok(parsed.data)
    : results.Err(parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`));
}

/** Converts the flags to the options of a run. */
export function toLoadOptions(flags: LoadFlags): runLoad.LoadOptions {
  return {
    ...flags,
    targets: flags.target.split(','),
    ratePerSecond: flags.rate,
    durationMilliseconds: flags.seconds * 1_000,
    maximumRequests: flags.requests,
    maximumInFlight: flags.inFlight,
    requestTimeoutMilliseconds: flags.timeoutSeconds * 1_000,
  };
}

const FLAGS: Readonly<Record<string, readonly [description: string, fallback: string]>> = {
  target: ['Base URLs of daemons or engines, separated by commas', ''],
  credential: ['Bearer credential of a team', ''],
  model: ['Routing intent', 'inspection'],
  rate: ['Requests a second', '10'],
  seconds: ['Duration, at most 600', '10'],
  requests: ['Highest number of requests, at most 1000000', '10000'],
  'in-flight': ['Highest number of unanswered requests', '2000'],
  'timeout-seconds': ['Longest time of one request', '30'],
  'output-tokens': ['Tokens of one answer', '16'],
  'plain-share': ['Share of plain requests, 0 to 1', '0'],
  'plain-path': ['Path of plain requests', '/ledger/balances/a1'],
  'preamble-tokens': ['Prompt tokens of the common first level', '2000'],
  'rules-tokens': ['Prompt tokens of the second level', '3000'],
  'history-tokens': ['Prompt tokens of the third level', '5000'],
  tenants: ['Number of second levels', '32'],
  'histories-per-tenant': ['Number of third levels below each second level', '12'],
  seed: ['Seed of arrivals and prompts', '1'],
};

const counter = zod.coerce.number().int().min(1);
const tokens = zod.coerce.number().int().min(0).max(1_000_000);

const flagSchema = zod.object({
  target: zod
    .string()
    .refine((text) => text.split(',').every((url) => /^http:\/\/[^/]+$/.test(url)), {
      message: 'use http://IP:PORT, separated by commas',
    }),
  credential: zod.coerce.string(),
  model: zod.coerce.string().min(1),
  rate: zod.coerce.number().positive().max(100_000),
  seconds: zod.coerce.number().positive().max(600),
  requests: counter.max(1_000_000),
  inFlight: counter.max(100_000),
  timeoutSeconds: zod.coerce.number().positive().max(600),
  outputTokens: tokens.min(1),
  plainShare: zod.coerce.number().min(0).max(1),
  plainPath: zod.string().startsWith('/'),
  preambleTokens: tokens,
  rulesTokens: tokens,
  historyTokens: tokens,
  tenants: counter.max(100_000),
  historiesPerTenant: counter.max(100_000),
  seed: zod.coerce.number().int().min(0),
  json: zod.boolean().default(false),
});

export type LoadFlags = zod.infer<typeof flagSchema>;
