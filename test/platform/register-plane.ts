import * as results from 'ts-results';
import * as control from '../../src/control';
import * as stateMachine from '../../src/control/state-machine';
import * as fakeControlPlane from '../support/fake-control-plane';

/** A control plane whose register the test sets. */
export class RegisterPlane extends fakeControlPlane.FakeControlPlane {
  current = control.EMPTY_REGISTER;

  private readonly registerListeners = new Set<(register: control.Register) => void>();

  /** The control state with the streams that were recorded. */
  private state = stateMachine.EMPTY_CONTROL_STATE;

  override register(): control.Register {
    return this.current;
  }

  override onRegister(listener: (register: control.Register) => void = () => {}): () => void {
    this.registerListeners.add(listener);
    return () => this.registerListeners.delete(listener);
  }

  /** Replaces the register while the gateway runs. */
  change(register: control.Register): void {
    this.current = register;
    this.registerListeners.forEach((listener) => listener(register));
  }

  override async propose(
    command: control.Command,
  ): Promise<results.Result<control.CommandResult, control.ProposalFailure>> {
    if (command.kind === control.CommandKind.ReadRegister && !this.isCutOff) {
      const kind = control.CommandResultKind.RegisterSequence;
      return new results.Ok({ kind, sequence: this.current.sequence });
    }
    if (!STREAM_COMMANDS.has(command.kind) || this.isCutOff) {
      return super.propose(command);
    }
    const applied = stateMachine.apply(this.state, command, Date.now());
    this.state = applied.state;
    return new results.Ok(applied.result);
  }
}

const STREAM_COMMANDS = new Set([
  control.CommandKind.RecordStreams,
  control.CommandKind.FindStreams,
]);
