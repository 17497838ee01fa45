import * as results from 'ts-results';
import * as clock from '../clock';
import * as control from '../control';
import * as verdict from '../verdict';

type Outcome<Value> = results.Result<Value, verdict.RequestFailure>;

/** What operators of a platform may do, over the replicated log. */
export class ControlService {
  constructor(
    private readonly plane: control.ControlPlane,
    private readonly time: clock.Clock,
  ) {}

  /** Puts a checked routing document in force; a lower version than the present one changes nothing. */
  async putRouting(version: number, text: string): Promise<Outcome<void>> {
    const kind = control.CommandKind.PutRouting;
    return (await this.write({ kind, version, text })).map(() => undefined);
  }

  async setDesiredWeights(model: string, version: number): Promise<Outcome<void>> {
    const kind = control.CommandKind.SetDesiredWeights;
    return (await this.write({ kind, model, version })).map(() => undefined);
  }

  /** The newest routing document, or `undefined` before the first one. */
  async readRouting(): Promise<Outcome<control.RoutingText | undefined>> {
    const written = await this.write({ kind: control.CommandKind.ReadRegister });
    return written.err ? written : this.registerFrom(written.val);
  }

  private async write(command: control.Command): Promise<Outcome<number>> {
    const result = await this.plane.propose(command, PROPOSAL_MILLISECONDS);
    if (result.ok && result.val.kind === control.CommandResultKind.RegisterSequence) {
      return new results.Ok(result.val.sequence);
    }
    return new results.Err(UNSURE);
  }

  /** This daemon may learn of the committed register a moment after its leader. */
  private async registerFrom(sequence: number): Promise<Outcome<control.RoutingText | undefined>> {
    const end = this.time.monotonic() + COPY_MILLISECONDS;
    while (this.plane.register().sequence < sequence) {
      if (this.time.monotonic() >= end) {
        return new results.Err(UNSURE);
      }
      await this.time.sleep(COPY_POLL_MILLISECONDS);
    }
    return new results.Ok(this.plane.register().routing);
  }
}

const UNSURE = verdict.failure(
  verdict.FailureReason.NoMajority,
  verdict.Verdict.MayHaveRun,
  'No majority of control replicas has answered in time; send the same call again.',
  { retryAfterMilliseconds: 200 },
);

// Operators turn to another daemon after 1 s without an answer.
const PROPOSAL_MILLISECONDS = 850;

const COPY_MILLISECONDS = 400;

const COPY_POLL_MILLISECONDS = 10;
