import * as fs from 'node:fs';
import type * as net from 'node:net';
import * as settings from '../../platform/settings';
import * as clock from '../../src/clock';
import type * as builtCheckout from '../platform/built-checkout';
import * as replacedControl from '../platform/replaced-control';
import * as connectionOwner from './connection-owner';
import * as dispatchHistory from './dispatch-history';
import * as engineDisturbance from './engine-disturbance';
import * as engineFleet from './engine-fleet';
import * as operatorChanges from './operator-changes';
import * as processDisturbance from './process-disturbance';
import * as runJudge from './run-judge';
import * as soakCaller from './soak-caller';
import * as soakDocument from './soak-document';
import * as soakSchedule from './soak-schedule';
import * as teamHistory from './team-history';

/** What an engine soak saw. */
export interface EngineSoakReport {
  /** Broken promises with the time since the start; empty if all held. */
  readonly violations: readonly string[];
  /** Log lines about the requests of the first violations. */
  readonly traces: readonly string[];
  /** Number of answers by status; 0 for a request without an answer. */
  readonly answers: ReadonlyMap<number, number>;
  /** The faults in the order in which they began. */
  readonly faults: readonly string[];
  readonly runs: number;
  readonly cachedRuns: number;
  readonly foreign: runJudge.RunJudge['foreign'];
  /** Streams that were taken up again, and those of them that became complete. */
  readonly takenUp: { readonly sent: number; readonly complete: number };
}

/**
 * Runs real gateways and control daemons before stand-ins of engines that keep who made each cached prompt part, under faults
 * that come in series and overlap: gateways that are cut off from chosen engines, engines that restart, leave and change
 * weights, processes that are killed or stand still, and documents that isolate other teams.
 *
 * @example
 * const report = await new EngineSoak(checkout, 7).run(40);
 */
export class EngineSoak {
  private readonly site: replacedControl.ReplacedControlSite;

  private readonly history = new teamHistory.TeamHistory();

  private readonly judge = new runJudge.RunJudge(this.history);

  private readonly fleet: engineFleet.EngineFleet;

  constructor(
    checkout: builtCheckout.BuiltCheckout,
    private readonly seed: number,
  ) {
    this.site = new replacedControl.ReplacedControlSite(checkout);
    this.fleet = new engineFleet.EngineFleet(
      this.judge,
      (servers) => this.site.listServers(servers),
      (socket) => this.ownerOf(socket),
    );
  }

  /** Plays the soak for some seconds, and stops everything. */
  async run(seconds: number): Promise<EngineSoakReport> {
    try {
      await this.fleet.start(ENGINES);
      const acknowledge = this.history.send(FIRST_ISOLATED, performance.now());
      const document = soakDocument.documentOf(FIRST_VERSION, FIRST_ISOLATED);
      await this.site.startWith(this.fleet.entries, document, GATEWAYS);
      acknowledge(performance.now());
      return await this.play(seconds);
    } finally {
      await this.site.stop();
      await this.fleet.close();
    }
  }

  private async play(seconds: number): Promise<EngineSoakReport> {
    const schedule = new soakSchedule.SoakSchedule(this.seed, seconds);
    const { site, fleet, history } = this;
    const operator = new operatorChanges.OperatorChanges(site, history, schedule, FIRST_VERSION);
    const engines = new engineDisturbance.EngineDisturbance(fleet, schedule);
    const processes = new processDisturbance.ProcessDisturbance(site, schedule);
    const callers = Array.from({ length: CALLERS }, (_, index) => this.callerOf(index));
    await Promise.all([
      ...callers.map((caller) => schedule.repeat(() => caller.call())),
      ...operator.start(),
      ...engines.start(site.gateways.map(({ node }) => node.name)),
      ...processes.start(),
    ]);
    callers.forEach((caller) => caller.close());
    const dispatches = new dispatchHistory.DispatchHistory(site.logLines(), performance.timeOrigin);
    this.judge.finish(dispatches, this.applyMilliseconds);
    return this.report(schedule, callers);
  }

  private callerOf(index: number): soakCaller.SoakCaller {
    const team = soakDocument.TEAMS[index % soakDocument.TEAMS.length];
    const random = new clock.SeededRandomSource(this.seed * 1_000 + index);
    return new soakCaller.SoakCaller(`${team}-${index}`, team, this.site, this.judge, random);
  }

  private report(
    schedule: soakSchedule.SoakSchedule,
    callers: readonly soakCaller.SoakCaller[],
  ): EngineSoakReport {
    const { violations, runs, cachedRuns, foreign } = this.judge;
    const answers = new Map<number, number>();
    callers.forEach((caller) =>
      caller.answers.forEach((count, status) =>
        answers.set(status, (answers.get(status) ?? 0) + count),
      ),
    );
    return {
      violations: violations.map(
        ({ at, text }) => `${schedule.timeOf(at)} ms, ${timeOfDay(at)}: ${text}`,
      ),
      traces: violations
        .slice(0, TRACED_VIOLATIONS)
        .flatMap(({ requestId }) => this.site.logOf(requestId)),
      answers,
      faults: schedule.faults,
      runs,
      cachedRuns,
      foreign,
      takenUp: {
        sent: sum(callers.map(({ takenUp }) => takenUp.sent)),
        complete: sum(callers.map(({ takenUp }) => takenUp.complete)),
      },
    };
  }

  /** `config_apply_ms` of the settings with which the gateways run. */
  private get applyMilliseconds(): number {
    const [{ node }] = this.site.gateways;
    const decoded = settings.decodeSettings(fs.readFileSync(node.settingsFile, 'utf8'));
    return decoded.unwrap().bounds.config_apply_ms;
  }

  private ownerOf({ remotePort, localPort }: net.Socket): string | undefined {
    const processes = this.site.gateways.map(({ node, process }): [number, string] => [
      process.id,
      node.name,
    ]);
    return remotePort === undefined || localPort === undefined
      ? undefined
      : connectionOwner.ownerOf({ client: remotePort, server: localPort }, new Map(processes));
  }
}

/** The time of day as the log lines of the processes have it. */
function timeOfDay(at: number): string {
  return new Date(performance.timeOrigin + at).toISOString();
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

const FIRST_ISOLATED: ReadonlySet<string> = new Set([soakDocument.TEAMS[0]]);

const FIRST_VERSION = 1;

const ENGINES = 4;

const GATEWAYS = 3;

/** More than the engines run at once, so that requests wait in the gateways. */
const CALLERS = 24;

const TRACED_VIOLATIONS = 3;
