import * as results from 'ts-results';
import * as clock from '../clock';
import * as control from '../control';
import type * as routes from '../routes';
import * as verdict from '../verdict';

type Outcome<Value> = results.Result<Value, verdict.RequestFailure>;

/** Operations of a platform's operators, executed through the replicated log. */
export class ControlService {
  constructor(
    private readonly plane: control.ControlPlane,
    private readonly time: clock.Clock,
  ) {}

  /** Activates a validated routing document; a version lower than the active one changes nothing. */
  async putRouting(
    version: number,
    text: string,
    teams: readonly routes.RoutedTeam[] = [],
  ): Promise<Outcome<void>> {
    const kind = control.CommandKind.PutRouting;
    const namesOf = (isIsolated: boolean) =>
      teams.filter((team) => team.isIsolated === isIsolated).map(({ name }) => name);
    const documentTeams = { isolated: namesOf(true), sharing: namesOf(false) };
    const written = await this.propose({ kind, version, text, teams: documentTeams });
    return written.map(() => undefined);
  }

  async setDesiredWeights(model: string, version: number): Promise<Outcome<void>> {
    const kind = control.CommandKind.SetDesiredWeights;
    return (await this.propose({ kind, model, version })).map(() => undefined);
  }

  /** The latest routing document, or `undefined` before the first one. */
  async readRouting(): Promise<Outcome<control.RoutingText | undefined>> {
    const written = await this.propose({ kind: control.CommandKind.ReadRegister });
    return written.err ? written : this.awaitRegister(written.val);
  }

  private async propose(command: control.Command): Promise<Outcome<number>> {
    const result = await this.plane.propose(command, PROPOSAL_TIMEOUT_MILLISECONDS);
    if (result.ok && result.val.kind === control.CommandResultKind.RegisterSequence) {
      return new results.Ok(result.val.sequence);
    }
    return new results.Err(UNKNOWN_OUTCOME);
  }

  /** Waits until this daemon's copy of the register includes the entry that the leader has committed. */
  private async awaitRegister(sequence: number): Promise<Outcome<control.RoutingText | undefined>> {
    const end = this.time.monotonic() + REGISTER_TIMEOUT_MILLISECONDS;
    while (this.plane.register().sequence < sequence) {
      if (this.time.monotonic() >= end) {
        return new results.Err(UNKNOWN_OUTCOME);
      }
      await this.time.sleep(REGISTER_POLL_MILLISECONDS);
    }
    return new results.Ok(this.plane.register().routing);
  }
}

const UNKNOWN_OUTCOME = verdict.failure(
  verdict.FailureReason.NoMajority,
  verdict.Verdict.MayHaveRun,
  'No majority of control replicas has answered in time; send the same call again.',
  { retryAfterMilliseconds: 200 },
);

// Operators retry at another daemon after 1 s without an answer.
const PROPOSAL_TIMEOUT_MILLISECONDS = 850;

const REGISTER_TIMEOUT_MILLISECONDS = 400;

const REGISTER_POLL_MILLISECONDS = 10;
