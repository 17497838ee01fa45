import * as clock from '../../src/clock';
import * as replica from '../../src/replica';
import * as simulation from './simulation';

/** A kill during the first start. */
export interface Kill {
  readonly slot: number;
  readonly atMilliseconds: number;
  readonly downMilliseconds: number;
  /** Whether a disk to which no vote and no entry was written is replaced by an empty one with another id. */
  readonly isBeforeFirstWrite: boolean;
  /** Setting of the restart. */
  readonly mayBootstrap: boolean;
}

/** A first start of three replicas. At least one of them keeps the right to form the group until there is one. */
export interface History {
  readonly seed: number;
  readonly lossRate: number;
  readonly duplicateRate: number;
  readonly maximumDelayMilliseconds: number;
  /** When each replica starts. */
  readonly startMilliseconds: readonly number[];
  readonly kills: readonly Kill[];
  /** The disk that is lost right after the first entry was committed. */
  readonly lostDisk?: number | 'leader';
  /** Time between the first commit and the loss. */
  readonly lossMilliseconds: number;
  /** Whether that replica is cut off from the third one until its disk is lost. */
  readonly isThirdCutOff: boolean;
}

/** Chooses a history at random. */
export function historyOf(random: clock.RandomSource): History {
  const choose = <Value>(values: readonly Value[]): Value =>
    values[Math.floor(random.uniform() * values.length)];
  const slots = choose([[], [0], [0], [1], [2], [0, 1], [0, 2], [1, 2]]);
  const kills = slots.map((slot) => ({
    slot,
    atMilliseconds: simulation.STEP_MILLISECONDS * Math.floor(random.uniform() * 100),
    downMilliseconds: choose([100, 300, 1_000, 3_500]),
    isBeforeFirstWrite: random.uniform() < 0.5,
    mayBootstrap: random.uniform() < 0.3,
  }));
  return {
    seed: Math.floor(random.uniform() * 1_000_000),
    lossRate: choose([0, 0, 0.05, 0.3]),
    duplicateRate: choose([0, 0.3]),
    maximumDelayMilliseconds: choose([5, 40, 200, 800]),
    startMilliseconds: [0, 1, 2].map(() => Math.floor(random.uniform() * 300)),
    kills,
    lostDisk: choose([undefined, 'leader', 0, 1, 2] as const),
    lossMilliseconds: simulation.STEP_MILLISECONDS * Math.floor(random.uniform() * 30),
    isThirdCutOff: random.uniform() < 0.5,
  };
}

/** What is wrong at the end of a history, besides contradictions. */
export enum Fault {
  NoGroup = 'there is no group',
  NothingCommitted = 'nothing was committed',
  NoMember = 'a replica is no member of the group',
}

/** Plays a history; returns what was wrong, if anything. */
export function play(history: History, update: typeof replica.update): string | undefined {
  try {
    return new FirstStart(history, update).play();
  } catch (error) {
    return (error as Error).message;
  }
}

/** No state besides the log is needed. */
const APPLICATION: simulation.Application = {
  apply: () => {},
  restore: () => {},
  encode: () => new Uint8Array(),
  reset: () => {},
};

class FirstStart {
  private readonly group: simulation.Simulation;

  private readonly options: simulation.SimulationOptions;

  private cutOff: number | undefined;

  private isDiskLost = false;

  private firstCommitAt = Number.POSITIVE_INFINITY;

  constructor(
    private readonly history: History,
    update: typeof replica.update,
  ) {
    const parameters = { targetVoters: REPLICAS, replaceMilliseconds: 2_000 };
    this.options = { ...history, replicas: REPLICAS, crashRate: 0, parameters, update };
    this.group = new simulation.Simulation(this.options, APPLICATION);
    history.startMilliseconds.forEach((restartAt, index) =>
      Object.assign(this.group.slots[index], { restartAt }),
    );
  }

  play(): string | undefined {
    while (this.group.now < FAULTS_MILLISECONDS) {
      this.killDue();
      this.cutOffDue();
      this.loseDiskDue();
      if (this.group.now % PROPOSAL_MILLISECONDS === 0) {
        this.group.propose(Math.max(0, this.group.leaderIndex()), Buffer.of(1));
      }
      this.group.run(simulation.STEP_MILLISECONDS);
      if (this.group.committed.length > 0) {
        this.firstCommitAt = Math.min(this.firstCommitAt, this.group.now);
      }
    }
    this.group.heal();
    Object.assign(this.options, { maximumDelayMilliseconds: SHORT_DELAY_MILLISECONDS });
    this.group.run(HEALING_MILLISECONDS);
    return this.findFault();
  }

  private findFault(): Fault | undefined {
    const { group } = this;
    const leader = group.leaderIndex();
    if (leader < 0) {
      return Fault.NoGroup;
    }
    const before = group.committed.length;
    group.propose(leader, Buffer.of(1));
    group.run(2_000);
    if (group.committed.length <= before) {
      return Fault.NothingCommitted;
    }
    const isApplied = group.slots.every(({ applied }) => applied === group.committed.length - 1);
    return isApplied ? undefined : Fault.NoMember;
  }

  private killDue(): void {
    this.history.kills
      .filter(({ atMilliseconds }) => atMilliseconds === this.group.now)
      .forEach((kill) => {
        const slot = this.group.slots[kill.slot];
        const { hardState, entries } = slot.durable;
        if (kill.isBeforeFirstWrite && hardState.term === 0 && entries.length === 0) {
          this.group.loseMachineDisk(kill.slot, kill.downMilliseconds);
        } else {
          this.group.crash(kill.slot, kill.downMilliseconds);
        }
        slot.mayBootstrap = kill.mayBootstrap;
      });
  }

  /** One replica gets nothing from the leader between the first commit and the loss of a disk. */
  private cutOffDue(): void {
    if (this.history.isThirdCutOff && this.cutOff === undefined && !this.isDiskLost) {
      const leader = this.group.leaderIndex();
      if (leader >= 0) {
        this.cutOff = (leader + 1) % REPLICAS;
        this.group.setLink(leader, this.cutOff, false);
      }
    }
  }

  private loseDiskDue(): void {
    const { lostDisk, lossMilliseconds } = this.history;
    if (this.isDiskLost || this.group.now < this.firstCommitAt + lossMilliseconds) {
      return;
    }
    this.isDiskLost = true;
    if (lostDisk !== undefined) {
      const slot = lostDisk === 'leader' ? Math.max(0, this.group.leaderIndex()) : lostDisk;
      this.group.loseMachineDisk(slot, 300);
    }
    this.group.slots.forEach((_, index) => this.group.setLinks(index, true));
  }
}

const REPLICAS = 3;

const PROPOSAL_MILLISECONDS = 50;

const SHORT_DELAY_MILLISECONDS = 5;

const FAULTS_MILLISECONDS = 6_000;

const HEALING_MILLISECONDS = 15_000;
