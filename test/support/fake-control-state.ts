import * as configuration from '../../src/configuration';
import * as control from '../../src/control';
import type * as fakeControlPlane from './fake-control-plane';

interface Claim {
  readonly attemptId: string;
  readonly fingerprint: string;
  phase: control.ClaimPhase;
  answer?: control.RecordedAnswer;
}

/** The replicated log as one object in memory, which all fake control planes of a test share. */
export class FakeControlState {
  snapshot = configuration.EMPTY_SNAPSHOT;

  readonly planes = new Set<fakeControlPlane.FakeControlPlane>();

  private readonly claims = new Map<string, Claim>();

  private readonly abandoned = new Set<string>();

  publish(...documents: configuration.ConfigurationDocument[]): void {
    const from = this.snapshot.revision;
    const delta = { from, to: from + 1, upserts: documents, removals: [] };
    this.snapshot = configuration.applyDelta(this.snapshot, delta);
    this.planes.forEach((plane) => plane.notifyConfigurationListeners(this.snapshot));
  }

  apply(command: control.Command): control.CommandResult {
    switch (command.kind) {
      case control.CommandKind.Claim:
        return this.claim(command);
      case control.CommandKind.CompleteClaim:
        return this.complete(command);
      case control.CommandKind.AbandonClaim:
        this.abandoned.add(command.attemptId);
        if (this.claims.get(keyOf(command))?.attemptId === command.attemptId) {
          this.claims.delete(keyOf(command));
        }
        return { kind: control.CommandResultKind.Done };
      default:
        return { kind: control.CommandResultKind.Done };
    }
  }

  private claim(command: control.ClaimCommand): control.CommandResult {
    const { ClaimRefused, ClaimHeld, ClaimGranted } = control.CommandResultKind;
    const { FingerprintDiffers, AttemptAbandoned } = control.ClaimRefusal;
    if (this.abandoned.has(command.attemptId)) {
      return { kind: ClaimRefused, refusal: AttemptAbandoned };
    }
    const existing = this.claims.get(keyOf(command));
    if (existing === undefined) {
      const { attemptId, fingerprint } = command;
      const phase = control.ClaimPhase.Claimed;
      this.claims.set(keyOf(command), { attemptId, fingerprint, phase });
      return { kind: ClaimGranted };
    }
    const { phase, attemptId, answer } = existing;
    return existing.fingerprint === command.fingerprint
      ? { kind: ClaimHeld, phase, attemptId, answer }
      : { kind: ClaimRefused, refusal: FingerprintDiffers };
  }

  private complete(command: control.CompleteClaimCommand): control.CommandResult {
    const existing = this.claims.get(keyOf(command));
    if (existing?.attemptId === command.attemptId) {
      existing.phase = control.ClaimPhase.Answered;
      existing.answer = command.answer;
    }
    return { kind: control.CommandResultKind.Done };
  }
}

function keyOf(command: { readonly team: string; readonly key: string }): string {
  return `${command.team}/${command.key}`;
}
