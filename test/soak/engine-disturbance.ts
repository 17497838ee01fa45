import type * as clock from '../../src/clock';
import * as replacedControl from '../platform/replaced-control';
import type * as engineFleet from './engine-fleet';
import * as engineLink from './engine-link';
import * as soakEngine from './soak-engine';
import * as soakSchedule from './soak-schedule';

enum EngineFault {
  Restart = 'restarts:',
  Report = 'reports badly:',
  Leave = 'leaves:',
}

/** Gateways that are cut off from chosen engines, and engines that restart, report badly or leave. */
export class EngineDisturbance {
  private readonly disturbed = new Set<engineFleet.FleetMember>();

  constructor(
    private readonly fleet: engineFleet.EngineFleet,
    private readonly schedule: soakSchedule.SoakSchedule,
  ) {}

  /** The faults until the soak ends. */
  start(gateways: readonly string[]): readonly Promise<void>[] {
    const links = gateways.map((gateway) => {
      const random = this.schedule.randomSource();
      return this.schedule.repeatAfterPauses(random, PAUSES_MILLISECONDS, () =>
        this.cutInSeries(gateway, random),
      );
    });
    const engines = Array.from({ length: ENGINES_AT_ONCE }, () => {
      const random = this.schedule.randomSource();
      return this.schedule.repeatAfterPauses(random, PAUSES_MILLISECONDS, () =>
        this.disturbEngine(random),
      );
    });
    return [...links, ...engines, this.schedule.repeat(() => this.updateList())];
  }

  /** The list follows the weights that engines have loaded. */
  private async updateList(): Promise<void> {
    await replacedControl.pause(LIST_MILLISECONDS);
    this.fleet.update();
  }

  private async cutInSeries(gateway: string, random: clock.RandomSource): Promise<void> {
    const length = random.integer(1, LONGEST_SERIES + 1);
    for (let count = 0; count < length; count += 1) {
      await this.cut(gateway, random);
      await soakSchedule.pauseBetween(random, 100, 800);
    }
  }

  private async cut(gateway: string, random: clock.RandomSource): Promise<void> {
    const share = soakSchedule.pick(random, CUT_SHARES);
    const members = this.fleet.members.filter(() => random.uniform() < share);
    const fault = soakSchedule.pick(random, LINK_FAULTS);
    const ids = members.map(({ engine }) => engine.id).join(', ');
    const milliseconds = random.integer(1_000, 3_000);
    this.schedule.record(`${fault} ${gateway} to ${ids} for ${milliseconds} ms`);
    if (fault === 'reset') {
      members.forEach(({ link }) => link.reset(gateway));
      return;
    }
    const state = fault === 'silent' ? engineLink.LinkState.Silent : engineLink.LinkState.Refusing;
    members.forEach(({ link }) => link.set(gateway, state));
    await replacedControl.pause(milliseconds);
    members.forEach(({ link }) => link.set(gateway, engineLink.LinkState.Open));
  }

  private async disturbEngine(random: clock.RandomSource): Promise<void> {
    const member = soakSchedule.pick(random, this.fleet.members);
    const fault = soakSchedule.pick(random, ENGINE_FAULTS);
    if (this.disturbed.has(member)) {
      return;
    }
    this.disturbed.add(member);
    this.schedule.record(`${fault} ${member.engine.id}`);
    await this.apply(fault, member, random);
    this.disturbed.delete(member);
  }

  private async apply(
    fault: EngineFault,
    member: engineFleet.FleetMember,
    random: clock.RandomSource,
  ): Promise<void> {
    const { engine } = member;
    const reportState = soakSchedule.pick(random, REPORT_STATES);
    if (fault === EngineFault.Restart) {
      await this.fleet.restart(member, {
        downMilliseconds: random.integer(0, 1_500),
        unknownMilliseconds: random.integer(500, 1_500),
        reportState,
        isServing: random.uniform() < 0.5,
      });
    } else if (fault === EngineFault.Leave) {
      await this.fleet.replace(member, random.integer(500, 3_000));
    } else {
      engine.reportState = reportState;
      await soakSchedule.pauseBetween(random, 500, 2_500);
      engine.reportState = soakEngine.ReportState.Complete;
    }
  }
}

/** Silence comes most often. */
const LINK_FAULTS = ['silent', 'silent', 'refused', 'reset'] as const;

const ENGINE_FAULTS = [
  EngineFault.Restart,
  EngineFault.Restart,
  EngineFault.Report,
  EngineFault.Leave,
];

const REPORT_STATES = [
  soakEngine.ReportState.Complete,
  soakEngine.ReportState.NamesNoModel,
  soakEngine.ReportState.Unavailable,
];

/** Shares of the engines from which a gateway is cut off. */
const CUT_SHARES = [0.5, 0.8, 1];

const ENGINES_AT_ONCE = 2;

const LONGEST_SERIES = 4;

const PAUSES_MILLISECONDS = [500, 4_000] as const;

const LIST_MILLISECONDS = 200;
