import * as clock from '../../src/clock';
import type * as fakeBackendServer from '../platform/fake-backend-server';
import * as replacedControl from '../platform/replaced-control';

/** What a soak saw. */
export interface SoakReport {
  /** Broken promises; empty if all held. */
  readonly violations: readonly string[];
  /** Number of answers by status; 0 for a request without an answer. */
  readonly answers: ReadonlyMap<number, number>;
  /** The faults in the order in which they began. */
  readonly faults: readonly string[];
  readonly acknowledgedRoutes: number;
}

enum GatewayFault {
  StandStill = 'stands still:',
  Kill = 'killed:',
  Restart = 'restarted:',
}

enum ControlFault {
  Replace = 'replaced:',
  StandStill = 'stands still:',
  Kill = 'killed:',
}

/**
 * Runs real processes for a while under faults that overlap: gateways that stand still, are killed or are restarted by an
 * operator, and control daemons that stand still, are killed, or are replaced at another address. Meanwhile routes are added.
 *
 * It checks from outside that an acknowledged route is never refused as unknown once it has to be in force, that a request
 * which must not be repeated runs at most once, that no control daemon returns an older document than the newest acknowledged
 * one, and that each gateway serves the newest route some time after the last fault.
 *
 * @example
 * const report = await new FaultSoak(site, server, 7).run(40);
 */
export class FaultSoak {
  private readonly random: clock.SeededRandomSource;

  private readonly violations: string[] = [];

  private readonly answers = new Map<number, number>();

  private readonly faults: string[] = [];

  /** Monotonic time in milliseconds of the acknowledgement, by number of the route. */
  private readonly acknowledgedAt = new Map<number, number>();

  private readonly startedAt = performance.now();

  private endsAt = 0;

  private nextRequest = 0;

  private nextRoute = 1;

  constructor(
    private readonly site: replacedControl.ReplacedControlSite,
    private readonly server: fakeBackendServer.FakeBackendServer,
    seed: number,
  ) {
    this.random = new clock.SeededRandomSource(seed);
  }

  async run(seconds: number): Promise<SoakReport> {
    this.endsAt = performance.now() + seconds * 1_000;
    const callers = Array.from({ length: CALLERS }, () => this.repeat(() => this.call()));
    await Promise.all([
      ...callers,
      this.repeat(() => this.addRoute()),
      this.repeat(() => this.disturbControl()),
      ...this.site.gateways.map((gateway) => this.repeat(() => this.disturbGateway(gateway))),
    ]);
    await this.checkEnd();
    return {
      violations: this.violations,
      answers: this.answers,
      faults: this.faults,
      acknowledgedRoutes: this.acknowledgedAt.size,
    };
  }

  private async repeat(work: () => Promise<void>): Promise<void> {
    while (performance.now() < this.endsAt) {
      await work();
    }
  }

  private async addRoute(): Promise<void> {
    const route = this.nextRoute;
    this.nextRoute += 1;
    await replacedControl.pause(this.random.integer(300, 1_000));
    for (let attempt = 0; attempt < PUBLISH_ATTEMPTS; attempt += 1) {
      const { control } = this.site;
      const target = control[this.random.integer(0, control.length)];
      if ((await replacedControl.publishRoutes(target, route)) === 200) {
        this.acknowledgedAt.set(route, performance.now());
        return;
      }
      await replacedControl.pause(PUBLISH_PAUSE_MILLISECONDS);
    }
  }

  private async call(): Promise<void> {
    await replacedControl.pause(this.random.integer(20, 120));
    const gateway = this.pick(this.site.gateways);
    const routes = [...this.acknowledgedAt.keys()];
    const route = routes.length === 0 ? undefined : this.pick(routes);
    const isCharge = this.random.uniform() < CHARGE_SHARE;
    const path = isCharge || route === undefined ? '/charge/1' : replacedControl.pathOf(route);
    this.nextRequest += 1;
    const id = `soak-${this.nextRequest}`;
    const sentAt = performance.now();
    const status = await replacedControl.statusOf(gateway, path, id, CALL_LIMIT_MILLISECONDS);
    this.answers.set(status, (this.answers.get(status) ?? 0) + 1);
    const age = sentAt - (this.acknowledgedAt.get(route ?? 0) ?? sentAt);
    if (UNKNOWN_STATUSES.has(status) && (isCharge || age > APPLY_MILLISECONDS)) {
      this.violate(
        `${gateway.node.name} answers ${status} for ${path}, acknowledged ${Math.round(age)} ms before`,
      );
    }
    if (isCharge) {
      this.checkRuns(id);
    }
  }

  private checkRuns(id: string): void {
    const runs = this.server.requests.filter(
      ({ headers }) => headers['x-figline-request-id'] === id,
    ).length;
    if (runs > 1) {
      this.violate(`the charge ${id} ran ${runs} times`);
    }
  }

  private async disturbGateway(gateway: replacedControl.StartedNode): Promise<void> {
    await replacedControl.pause(this.random.integer(500, 8_000));
    const current = this.site.gateways.find(({ node }) => node === gateway.node)!;
    const kind = this.pick(Object.values(GatewayFault));
    this.record(`${kind} ${gateway.node.name}`);
    if (kind === GatewayFault.StandStill) {
      current.process.signal('SIGSTOP');
      await replacedControl.pause(this.random.integer(300, LONGEST_STANDSTILL_MILLISECONDS));
      current.process.signal('SIGCONT');
    } else {
      await this.site.restartGateway(
        current,
        kind === GatewayFault.Kill ? 'SIGKILL' : 'SIGTERM',
        this.random.integer(100, 3_000),
      );
    }
  }

  /** One at a time, as the group bears the loss of one control daemon. */
  private async disturbControl(): Promise<void> {
    await replacedControl.pause(this.random.integer(200, 2_000));
    const kind = this.pick(CONTROL_FAULTS);
    const target = this.pick(this.site.control);
    this.record(`${kind} ${kind === ControlFault.Replace ? 'the oldest' : target.node.name}`);
    if (kind === ControlFault.Replace) {
      await this.site.replaceOldestControlDaemon();
    } else if (kind === ControlFault.StandStill) {
      target.process.signal('SIGSTOP');
      await replacedControl.pause(this.random.integer(300, 5_000));
      target.process.signal('SIGCONT');
    } else {
      await this.site.restartControl(target, this.random.integer(100, 2_000));
    }
    await replacedControl.pause(CATCH_UP_MILLISECONDS);
  }

  private async checkEnd(): Promise<void> {
    const newest = Math.max(0, ...this.acknowledgedAt.keys());
    const path = replacedControl.pathOf(newest);
    await Promise.all(
      this.site.gateways.map(async (gateway) => {
        const statuses = await replacedControl.pollUntil(gateway, path, 200);
        if (newest > 0 && statuses.at(-1) !== 200) {
          this.violate(`${gateway.node.name} does not serve ${path}: ${statuses.at(-1)}`);
        }
      }),
    );
    await Promise.all(
      this.site.control.map(async (control) => {
        const version = await replacedControl.readVersion(control);
        if (version !== undefined && version < newest) {
          this.violate(`${control.node.name} returns version ${version}, not ${newest}`);
        }
      }),
    );
  }

  private pick<Value>(values: readonly Value[]): Value {
    return values[this.random.integer(0, values.length)];
  }

  private record(fault: string): void {
    this.faults.push(`${Math.round(performance.now() - this.startedAt)} ms: ${fault}`);
  }

  private violate(violation: string): void {
    this.violations.push(`${Math.round(performance.now() - this.startedAt)} ms: ${violation}`);
  }
}

/** Replacements come most often: only a series of them leaves a daemon with old addresses alone. */
const CONTROL_FAULTS = [
  ControlFault.Replace,
  ControlFault.Replace,
  ControlFault.Replace,
  ControlFault.StandStill,
  ControlFault.Kill,
];

const UNKNOWN_STATUSES = new Set([401, 403, 404]);

const CALLERS = 4;

const CHARGE_SHARE = 0.2;

const CALL_LIMIT_MILLISECONDS = 2_000;

/** An acknowledged document has to be in force within this time. */
const APPLY_MILLISECONDS = 2_500;

const PUBLISH_ATTEMPTS = 20;

const PUBLISH_PAUSE_MILLISECONDS = 100;

const LONGEST_STANDSTILL_MILLISECONDS = 20_000;

/** A control daemon that is back counts as lost for this long. */
const CATCH_UP_MILLISECONDS = 1_000;
