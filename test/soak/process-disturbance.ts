import type * as clock from '../../src/clock';
import * as replacedControl from '../platform/replaced-control';
import * as soakSchedule from './soak-schedule';

enum ProcessFault {
  StandStill = 'stands still:',
  Kill = 'killed:',
  Restart = 'restarted:',
}

/** Gateways and control daemons that stand still, are killed, or are restarted by an operator. */
export class ProcessDisturbance {
  constructor(
    private readonly site: replacedControl.ReplacedControlSite,
    private readonly schedule: soakSchedule.SoakSchedule,
  ) {}

  /** The faults until the soak ends. */
  start(): readonly Promise<void>[] {
    const random = this.schedule.randomSource();
    const gateways = this.site.gateways.map(({ node }) => {
      const own = this.schedule.randomSource();
      return this.schedule.repeatAfterPauses(own, [4_000, 20_000], () =>
        this.disturbGateway(node.name, own),
      );
    });
    return [
      ...gateways,
      this.schedule.repeatAfterPauses(random, [1_000, 5_000], () => this.disturbControl(random)),
    ];
  }

  private async disturbGateway(name: string, random: clock.RandomSource): Promise<void> {
    const gateway = this.site.gateways.find(({ node }) => node.name === name)!;
    const fault = soakSchedule.pick(random, Object.values(ProcessFault));
    this.schedule.record(`${fault} ${name}`);
    if (fault === ProcessFault.StandStill) {
      await this.standStill(gateway, random);
    } else {
      const signal = fault === ProcessFault.Kill ? 'SIGKILL' : 'SIGTERM';
      await this.site.restartGateway(gateway, signal, random.integer(100, 1_500));
    }
  }

  /** One at a time, as the group bears the loss of one control daemon. */
  private async disturbControl(random: clock.RandomSource): Promise<void> {
    const target = soakSchedule.pick(random, this.site.control);
    const fault = soakSchedule.pick(random, [ProcessFault.StandStill, ProcessFault.Kill]);
    this.schedule.record(`${fault} ${target.node.name}`);
    if (fault === ProcessFault.StandStill) {
      await this.standStill(target, random);
    } else {
      await this.site.restartControl(target, random.integer(100, 1_500));
    }
    await replacedControl.pause(CATCH_UP_MILLISECONDS);
  }

  private async standStill(
    { node, process }: replacedControl.StartedNode,
    random: clock.RandomSource,
  ): Promise<void> {
    process.signal('SIGSTOP');
    await soakSchedule.pauseBetween(random, 300, LONGEST_STANDSTILL_MILLISECONDS);
    process.signal('SIGCONT');
    this.schedule.record(`goes on: ${node.name}`);
  }
}

const LONGEST_STANDSTILL_MILLISECONDS = 5_000;

/** A control daemon that is back counts as lost for this long. */
const CATCH_UP_MILLISECONDS = 1_000;
