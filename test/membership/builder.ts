import * as backend from '../../src/backend';
import * as membership from '../../src/membership';

const { MembershipEventKind } = membership;

/** A machine of the list; by default a model engine. */
export function machine(
  id: string,
  overrides: Partial<backend.MachineRecord> = {},
): backend.MachineRecord {
  return {
    id,
    host: '127.0.0.1',
    port: 9_000,
    zone: 'pl-caudan',
    region: 'port-louis',
    service: 'inspection-desk',
    kind: backend.BackendKind.ModelEngine,
    phase: backend.MachinePhase.Live,
    ...overrides,
  };
}

/** Applies events one after another and keeps the effects. */
export class ViewBuilder {
  view = membership.EMPTY_VIEW;

  effects: membership.MembershipEffect[] = [];

  apply(event: membership.MembershipEvent): this {
    const step = membership.update(this.view, event);
    this.view = step.state;
    this.effects.push(...step.effects);
    return this;
  }

  list(at: number, ...machines: backend.MachineRecord[]): this {
    return this.apply({ kind: MembershipEventKind.ListRead, at, machines });
  }

  probeSucceeded(
    serverId: string,
    at: number,
    incarnation: string,
    leaving = false,
    startedAt = at,
    weights: Pick<membership.ProbeSucceeded, 'weightsVersion'> = { weightsVersion: 'v1' },
  ): this {
    const kind = MembershipEventKind.ProbeSucceeded;
    const report = { incarnation, ...weights, leaving };
    return this.apply({ kind, at, serverId, startedAt, ...report, jitter: 0.5 });
  }

  probeFailed(serverId: string, at: number, answeredMalformed = false): this {
    const kind = MembershipEventKind.ProbeFailed;
    const fields = answeredMalformed ? { answeredMalformed } : {};
    return this.apply({ kind, at, serverId, startedAt: at, jitter: 0.5, ...fields });
  }

  malformedAnswer(serverId: string, at: number): this {
    return this.apply({ kind: MembershipEventKind.AnswerMalformed, at, serverId });
  }

  isSuspected(serverId: string): boolean {
    return membership.eligibleServer(this.view, serverId)?.suspected === true;
  }

  refusedAsLeaving(serverId: string, at: number): this {
    return this.apply({ kind: MembershipEventKind.RefusedAsLeaving, at, serverId });
  }

  connectionFailed(serverId: string, at: number): this {
    return this.apply({ kind: MembershipEventKind.ConnectionFailed, at, serverId });
  }

  peerReported(at: number, report: membership.MembershipReport): this {
    return this.apply({ kind: MembershipEventKind.PeerReported, at, report });
  }

  tick(at: number): this {
    return this.apply({ kind: MembershipEventKind.Tick, at });
  }

  eligibleIds(): readonly string[] {
    return membership.eligible(this.view).map((server) => server.id);
  }

  /** Removes the collected effects and returns their kinds. */
  takeEffects(): readonly string[] {
    const kinds = this.effects.map((effect) => effect.kind);
    this.effects = [];
    return kinds;
  }
}
