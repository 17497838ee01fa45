import type * as clock from '../../src/clock';
import * as replacedControl from '../platform/replaced-control';
import * as soakDocument from './soak-document';
import * as soakEngine from './soak-engine';
import * as soakSchedule from './soak-schedule';
import type * as teamHistory from './team-history';

/** Changes of an operator: other teams become isolated, and the engines get newer weights. */
export class OperatorChanges {
  private isolated: ReadonlySet<string> = new Set([soakDocument.TEAMS[0]]);

  private weightsVersion = 1;

  constructor(
    private readonly site: replacedControl.ReplacedControlSite,
    private readonly history: teamHistory.TeamHistory,
    private readonly schedule: soakSchedule.SoakSchedule,
    private version: number,
  ) {}

  /** The changes until the soak ends. */
  start(): readonly Promise<void>[] {
    const [documents, weights] = [this.schedule.randomSource(), this.schedule.randomSource()];
    return [
      this.schedule.repeatAfterPauses(documents, [1_000, 9_000], () =>
        this.changeDocument(documents),
      ),
      this.schedule.repeatAfterPauses(weights, [3_000, 12_000], () => this.changeWeights(weights)),
    ];
  }

  private async changeDocument(random: clock.RandomSource): Promise<void> {
    const team = soakSchedule.pick(random, CHANGING_TEAMS);
    const others = [...this.isolated].filter((each) => each !== team);
    this.isolated = new Set(this.isolated.has(team) ? others : [...others, team]);
    this.version += 1;
    this.schedule.record(`document ${this.version} isolates ${[...this.isolated].join(', ')}`);
    const document = soakDocument.documentOf(this.version, this.isolated);
    const acknowledge = this.history.send(this.isolated, performance.now());
    await this.callUntilAcknowledged(random, (control) =>
      replacedControl.publishDocument(control, document),
    );
    acknowledge(performance.now());
    this.schedule.record(`document ${this.version} is acknowledged`);
  }

  private async changeWeights(random: clock.RandomSource): Promise<void> {
    this.weightsVersion += 1;
    this.schedule.record(`weights ${this.weightsVersion} are named`);
    await this.callUntilAcknowledged(random, (control) =>
      replacedControl.putVersion(control, soakEngine.MODEL, this.weightsVersion),
    );
  }

  private async callUntilAcknowledged(
    random: clock.RandomSource,
    call: (control: replacedControl.StartedNode) => Promise<number>,
  ): Promise<void> {
    while ((await call(soakSchedule.pick(random, this.site.control))) !== OK) {
      await replacedControl.pause(RETRY_MILLISECONDS);
    }
  }
}

const CHANGING_TEAMS = soakDocument.TEAMS.slice(1, -1);

const OK = 200;

const RETRY_MILLISECONDS = 100;
