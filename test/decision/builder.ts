import * as backend from '../../src/backend';
import * as configuration from '../../src/configuration';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';

const SERVICE = 'inspection-desk';

/** Drives one decision core and collects its effects. */
export class DecisionDriver {
  state = decision.initialState({ seed: 1, zone: 'pl-caudan', region: 'pl' });

  private effects: decision.DecisionEffect[] = [];

  constructor(public at = 0) {}

  apply(event: decision.DecisionEvent): this {
    const { state, effects } = decision.update(this.state, event);
    this.state = state;
    this.effects.push(...effects);
    return this;
  }

  arrive(requestId: string, changes: Partial<decision.RequestProfile> = {}): this {
    return this.apply({
      kind: decision.DecisionEventKind.RequestArrived,
      at: this.at,
      profile: { ...profile(requestId, this.at), ...changes },
    });
  }

  /** Reports peers and lists all `servers`, as for one of several daemons. */
  joinPeers(position: number, count: number, servers: number): this {
    const { PeersChanged, ServersChanged } = decision.DecisionEventKind;
    const all = listServers(servers);
    return this.apply({ kind: PeersChanged, at: this.at, position, count }).apply({
      kind: ServersChanged,
      at: this.at,
      servers: all,
      listed: all,
    });
  }

  receivePiece(dispatch: decision.Dispatch, nextPiece: number): this {
    const { requestId, attemptId } = dispatch;
    const kind = decision.DecisionEventKind.PieceReceived;
    return this.apply({ kind, at: this.at, requestId, attemptId, nextPiece });
  }

  finish(dispatch: decision.Dispatch): this {
    const { requestId, attemptId } = dispatch;
    const kind = decision.DecisionEventKind.AttemptFinished;
    return this.apply({ kind, at: this.at, requestId, attemptId });
  }

  loseConnection(dispatch: decision.Dispatch, outcome: verdict.Verdict): this {
    const { requestId, attemptId } = dispatch;
    const kind = decision.DecisionEventKind.AttemptFailed;
    const reason = verdict.FailureReason.ConnectionLost;
    const failure = verdict.failure(reason, outcome, 'The connection was lost.');
    return this.apply({ kind, at: this.at, requestId, attemptId, failure });
  }

  /** Advances the time and sends a tick event. */
  wait(milliseconds: number): this {
    this.at += milliseconds;
    return this.apply({ kind: decision.DecisionEventKind.Tick, at: this.at });
  }

  /** Removes and returns the collected effects of one kind. */
  takeEffects<Kind extends decision.DecisionEffectKind>(
    kind: Kind,
  ): Extract<decision.DecisionEffect, { kind: Kind }>[] {
    type Wanted = Extract<decision.DecisionEffect, { kind: Kind }>;
    const selected = this.effects.filter((effect): effect is Wanted => effect.kind === kind);
    this.effects = this.effects.filter((effect) => effect.kind !== kind);
    return selected;
  }
}

/** A driver whose core has one model service with some servers. */
export function createDriver(servers: number, slotsPerRunner = 8): DecisionDriver {
  const documents = [
    configuration.modelServiceSchema.parse({
      kind: configuration.DocumentKind.Service,
      type: configuration.ServiceType.ModelEngine,
      name: SERVICE,
      model: 'sack-model',
      weightsVersion: 'v1',
      slotsPerRunner,
    }),
  ];
  const snapshot = {
    revision: 1,
    documents: new Map(documents.map((entry) => [configuration.documentKey(entry), entry])),
  };
  return new DecisionDriver()
    .apply({ kind: decision.DecisionEventKind.ConfigurationChanged, at: 0, snapshot })
    .apply({
      kind: decision.DecisionEventKind.ServersChanged,
      at: 0,
      servers: listServers(servers),
    });
}

/** The first `count` servers of the test service. */
export function listServers(count: number) {
  return Array.from({ length: count }, (_, index) => ({
    id: `runner-${index}`,
    host: '127.0.0.1',
    port: 9_000 + index,
    zone: 'pl-caudan',
    region: 'pl',
    service: SERVICE,
    kind: backend.BackendKind.ModelEngine,
    phase: backend.MachinePhase.Live,
    incarnation: 'first',
    suspected: false,
  }));
}

/** An idempotent short request without a long prompt. */
export function profile(requestId: string, at: number): decision.RequestProfile {
  return {
    requestId,
    team: 'depot',
    service: SERVICE,
    class: configuration.RequestClass.Short,
    prefixChain: ['preamble', `history-${requestId}`],
    promptTokens: 2_000,
    expectedOutputTokens: 40,
    idempotent: true,
    priority: 5,
    firstTokenDeadline: at + 10_000,
    fingerprint: `fingerprint-${requestId}`,
  };
}
