import * as clock from '../clock';
import * as deployment from './deployment';

/** One request of the generated traffic. */
export interface BenchRequest {
  readonly requestId: string;
  readonly at: number;
  readonly zone: string;
  /** Chooses a daemon of the zone, as the platform's load balancer would. */
  readonly balancer: number;
  readonly team: number;
  readonly chain: readonly string[];
  readonly promptTokens: number;
  readonly outputPieces: number;
  /** Number of output pieces that a router expects from the caller's limit. */
  readonly expectedOutputPieces: number;
  readonly long: boolean;
  readonly poison: boolean;
  readonly fingerprint: string;
}

/** What varies between cases. */
export interface WorkloadOptions {
  readonly seed: number;
  readonly durationMilliseconds: number;
  /** Requests per second at a time. */
  readonly rate: (at: number) => number;
  /** Fraction of requests with a longer output, and the factor of its length. */
  readonly longFraction?: number;
  readonly longFactor?: number;
  /** Mean output of normal requests; the deployment's by default. */
  readonly meanOutputPieces?: number;
  /** Index of the set of popular histories at a time; another index makes other histories popular. */
  readonly hotSet?: (at: number) => number;
}

interface Session {
  readonly zone: string;
  readonly team: number;
  readonly tenant: number;
  readonly history: number;
  remaining: number;
}

/**
 * Generates sessions of requests. All requests of a session have one history, which follows the tenant's
 * rules and the team's preamble in the prompt; a few histories are much more popular than the rest.
 */
export function generate(cluster: deployment.Deployment, options: WorkloadOptions): BenchRequest[] {
  const random = new clock.SeededRandomSource(options.seed);
  const requests: BenchRequest[] = [];
  const sessions: Session[] = [];
  let at = 0;
  for (;;) {
    at += exponential(random, 1_000 / Math.max(0.001, options.rate(at)));
    if (at >= options.durationMilliseconds) {
      return requests;
    }
    const active = nextSession(cluster, random, sessions, options.hotSet?.(at) ?? 0);
    requests.push(makeRequest(cluster, options, random, active, at, requests.length));
  }
}

/** Continues an open session or opens one; sessions advance with the request rate. */
function nextSession(
  cluster: deployment.Deployment,
  random: clock.RandomSource,
  sessions: Session[],
  hotSet: number,
): Session {
  if (sessions.length < OPEN_SESSIONS || random.uniform() < 1 / MEAN_SESSION_REQUESTS) {
    sessions.push(newSession(cluster, random, hotSet));
    return sessions[sessions.length - 1];
  }
  const position = random.integer(0, sessions.length);
  const session = sessions[position];
  session.remaining -= 1;
  if (session.remaining <= 0) {
    sessions.splice(position, 1);
  }
  return session;
}

function newSession(
  cluster: deployment.Deployment,
  random: clock.RandomSource,
  hotSet: number,
): Session {
  const zone = deployment.zoneOf(cluster, random.integer(0, cluster.zones.length));
  const remaining = MEAN_SESSION_REQUESTS;
  if (random.uniform() < HOT_FRACTION) {
    const history = hotSet * HOT_HISTORIES + Math.floor(HOT_HISTORIES * random.uniform() ** 2);
    return { zone, team: history % 2, tenant: 0, history: -1 - history, remaining };
  }
  const team = weightedIndex(random, cluster.teams);
  const tenant = Math.floor(cluster.tenantsPerTeam * random.uniform() ** 2);
  const history = Math.floor(cluster.historiesPerTenant * random.uniform() ** 1.5);
  return { zone, team, tenant, history, remaining };
}

function makeRequest(
  cluster: deployment.Deployment,
  options: WorkloadOptions,
  random: clock.RandomSource,
  session: Session,
  at: number,
  number: number,
): BenchRequest {
  const long = random.uniform() < (options.longFraction ?? 0);
  const [preamble, rules, meanHistory] = cluster.levels;
  const history = historyBlocks(session, meanHistory);
  const { team, tenant } = session;
  const questionTokens = random.integer(100, 800);
  const shared = [
    ...names(`${team}`, preamble),
    ...names(`${team}.${tenant}`, rules),
    ...names(`${team}.${tenant}.${session.history}`, history),
  ];
  // The rest of the history and the question together sometimes fill one more block.
  const unsharedTokens = random.integer(0, 1_000) + questionTokens;
  const chain = unsharedTokens >= 1_000 ? [...shared, `q${options.seed}.${number}`] : shared;
  const mean = options.meanOutputPieces ?? cluster.meanOutputPieces;
  const factor = long ? (options.longFactor ?? 1) : 1;
  const output = Math.min(4 * mean, 1 + exponential(random, mean));
  return {
    requestId: `r${number}`,
    at,
    zone: session.zone,
    balancer: random.integer(0, 1_000),
    team,
    chain,
    promptTokens: shared.length * 1_000 + unsharedTokens,
    outputPieces: Math.ceil(output * (long ? (options.longFactor ?? 1) : 1)),
    expectedOutputPieces: mean * factor,
    long,
    poison: false,
    fingerprint: `f${number}`,
  };
}

/** The number of blocks of a history, which is constant for each history and varies between them. */
function historyBlocks(session: Session, mean: number): number {
  const variation = Math.abs(session.history * 7 + session.tenant * 3 + session.team) % (mean + 1);
  return Math.ceil(mean / 2) + variation;
}

function names(prefix: string, blocks: number): string[] {
  return Array.from({ length: blocks }, (_, index) => `${prefix}/${index}`);
}

function exponential(random: clock.RandomSource, mean: number): number {
  return -Math.log(1 - random.uniform()) * mean;
}

function weightedIndex(random: clock.RandomSource, weights: readonly number[]): number {
  let rest = random.uniform() * weights.reduce((sum, weight) => sum + weight, 0);
  return weights.findIndex((weight) => {
    rest -= weight;
    return rest < 0;
  });
}

const OPEN_SESSIONS = 30;
const MEAN_SESSION_REQUESTS = 6;
/** Fraction of sessions with one of the popular histories. */
const HOT_FRACTION = 0.25;
const HOT_HISTORIES = 4;
