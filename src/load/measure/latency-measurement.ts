import * as child from './child';
import * as documents from './documents';
import * as emulators from './emulators';
import * as leastSquares from './least-squares';
import type * as loadSummary from '../load-summary';
import * as processUsage from './process-usage';
import * as testGroup from './test-group';

/** Results of one load directly on the engines and then of the same load through the daemon. */
export interface LatencyRound {
  readonly direct: loadSummary.LoadSummary;
  readonly throughDaemon: loadSummary.LoadSummary;
  /** CPU time of the daemon during its load. */
  readonly daemonCpuMilliseconds: number;
  readonly daemonResidentBytes: number;
}

/** Parameters of one load. */
export interface LatencyPlan {
  readonly ratePerSecond: number;
  readonly seconds: number;
  readonly outputTokens: number;
  /** Prompt tokens of the three nested prefixes. */
  readonly promptTokens: readonly [preamble: number, rules: number, history: number];
  readonly rounds: number;
}

/** Runs all plans against one group. The two loads of a round run one directly after the other. */
export async function measureLatency(
  plans: readonly LatencyPlan[],
  onResult: (plan: LatencyPlan, rounds: readonly LatencyRound[]) => void,
): Promise<void> {
  const group = new testGroup.TestGroup();
  const servers = new emulators.Emulators();
  try {
    await servers.start({
      engines: ENGINES,
      plainServices: 0,
      engineProcesses: ENGINE_PROCESSES,
      slots: 64,
      decodeTokensPerSecond: 200,
    });
    await group.start(PEERS, servers.servers);
    const direct = servers.servers.map(({ port }) => `http://127.0.0.1:${port}`);
    // Warms up the engines and the daemon, so that the measurement does not include compilation.
    await measureRound(group, direct, { ...plans[0], seconds: WARM_UP_SECONDS }, 0);
    for (const plan of plans) {
      const rounds: LatencyRound[] = [];
      for (let round = 0; round < plan.rounds; round += 1) {
        rounds.push(await measureRound(group, direct, plan, round + 1));
      }
      onResult(plan, rounds);
    }
  } finally {
    await group.stop();
    await servers.stop();
  }
}

/** Formats the medians over the rounds. */
export function formatLatency(plan: LatencyPlan, rounds: readonly LatencyRound[]): string {
  const median = (measure: (round: LatencyRound) => number) =>
    leastSquares.median(rounds.map(measure));
  const row = (name: string, measure: (summary: loadSummary.LoadSummary) => number) => {
    const direct = median((round) => measure(round.direct));
    const through = median((round) => measure(round.throughDaemon));
    const added = median((round) => measure(round.throughDaemon) - measure(round.direct));
    return `  ${name.padEnd(20)}${[direct, through, added].map(formatCell).join('')}`;
  };
  const prompt = plan.promptTokens.reduce((sum, tokens) => sum + tokens, 0);
  const cpu = median((round) => round.daemonCpuMilliseconds);
  const requests = median((round) => round.throughDaemon.requests);
  const tokens = median((round) => round.throughDaemon.tokens);
  return [
    `${plan.ratePerSecond} requests/s, prompt ${prompt} tokens, answer ${plan.outputTokens} tokens, ` +
      `${rounds.length} rounds of ${plan.seconds} s`,
    `  ${'milliseconds'.padEnd(20)}${['direct', 'daemon', 'added'].map((name) => name.padStart(10)).join('')}`,
    row('first token p50', ({ firstToken }) => firstToken.p50),
    row('first token p99', ({ firstToken }) => firstToken.p99),
    row('whole answer p50', ({ total }) => total.p50),
    row('whole answer p99', ({ total }) => total.p99),
    row('sent late p99', ({ lateness }) => lateness.p99),
    row('succeeded share', ({ succeeded, requests: sent }) => succeeded / sent),
    row('generator cores', ({ generatorCores }) => generatorCores),
    `  daemon: ${(cpu / requests).toFixed(2)} ms CPU a request, ` +
      `${((1_000 * cpu) / tokens).toFixed(0)} us a token, ` +
      `${(tokens / (cpu / 1_000)).toFixed(0)} tokens/s a core, ` +
      `${(cpu / 10 / median((round) => round.throughDaemon.seconds)).toFixed(0)}% of a core, ` +
      `${(median((round) => round.daemonResidentBytes) / 1e6).toFixed(0)} MB resident`,
    `  failures: ${JSON.stringify(rounds.map((round) => round.throughDaemon.failures))}`,
    '',
  ].join('\n');
}

const ENGINES = 8;
const ENGINE_PROCESSES = 4;
const PEERS = 7;
const WARM_UP_SECONDS = 4;

async function measureRound(
  group: testGroup.TestGroup,
  direct: readonly string[],
  plan: LatencyPlan,
  seed: number,
): Promise<LatencyRound> {
  const directSummary = await runLoad(direct.join(','), plan, seed);
  const before = processUsage.readUsage(group.daemon.pid);
  const throughDaemon = await runLoad(group.callerUrl, plan, seed);
  const after = processUsage.readUsage(group.daemon.pid);
  return {
    direct: directSummary,
    throughDaemon,
    daemonCpuMilliseconds: after.cpuMilliseconds - before.cpuMilliseconds,
    daemonResidentBytes: after.residentBytes,
  };
}

/** The generator runs in a separate process, so that it does not delay the measurement. */
async function runLoad(
  targets: string,
  plan: LatencyPlan,
  seed: number,
): Promise<loadSummary.LoadSummary> {
  const [preamble, rules, history] = plan.promptTokens;
  const flags = {
    target: targets,
    credential: `${documents.CREDENTIAL_PREFIX}team-0`,
    model: documents.INTENT,
    rate: plan.ratePerSecond,
    seconds: plan.seconds,
    requests: Math.ceil(plan.ratePerSecond * plan.seconds * 2),
    'output-tokens': plan.outputTokens,
    'preamble-tokens': preamble,
    'rules-tokens': rules,
    'history-tokens': history,
    seed,
  };
  const commandArguments = Object.entries(flags).map(([flag, value]) => `--${flag}=${value}`);
  const generator = child.Child.start('load/run.js', [...commandArguments, '--json']);
  const summary = await generator.nextLine<loadSummary.LoadSummary>();
  await generator.stop();
  return summary;
}

function formatCell(value: number): string {
  return value.toFixed(2).padStart(10);
}
