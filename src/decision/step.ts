import * as admission from '../admission';
import * as clock from '../clock';
import * as transaction from '../transaction';
import type * as effect from './effect';
import * as pendingLoads from './pending-loads';
import type * as state from './state';

interface Memo {
  readonly inputs: readonly unknown[];
  readonly value: unknown;
}

/** Collects the state changes and effects of one event during one call of `update`. */
export class Step {
  readonly effects: effect.DecisionEffect[] = [];

  state: state.DecisionState;

  private readonly memos = new Map<string, Memo>();

  constructor(
    private readonly startState: state.DecisionState,
    readonly at: number,
  ) {
    this.state = startState;
  }

  /** Replaces some fields of the state. */
  change(fields: Partial<state.DecisionState>): void {
    this.state = { ...this.state, ...fields };
  }

  emit(decisionEffect: effect.DecisionEffect): void {
    this.effects.push(decisionEffect);
  }

  setRequest(request: state.RequestState): void {
    const { requestId } = request.profile;
    this.change({ requests: this.state.requests.set(requestId, request) });
  }

  setServer(server: state.ServerState): void {
    this.change({ servers: this.state.servers.set(server.record.id, server) });
  }

  queue(service: string): admission.ServiceQueue {
    return this.state.queues.get(service, admission.EMPTY_QUEUE);
  }

  setQueue(service: string, queue: admission.ServiceQueue): void {
    this.change({ queues: this.state.queues.set(service, queue) });
  }

  /** The servers of a service, also those that may get no new requests. */
  pool(service: string): readonly state.ServerState[] {
    this.applyPendingLoads();
    const { servers, pools } = this.state;
    return this.memoize(`pool/${service}`, [servers, pools], () =>
      (pools.get(service) ?? []).map((serverId) => servers.get(serverId)!),
    );
  }

  /**
   * Returns the last value of this name as long as the inputs are the same objects or equal numbers: one event compares
   * all servers several times, and what it computes from them changes in between only sometimes.
   *
   * @example
   * step.memoize('ids', [step.state.servers], () => [...step.state.servers.keys()]);
   */
  memoize<Value>(name: string, inputs: readonly unknown[], compute: () => Value): Value {
    const memo = this.memos.get(name);
    if (memo !== undefined && inputs.every((input, index) => input === memo.inputs[index])) {
      return memo.value as Value;
    }
    const value = compute();
    this.memos.set(name, { inputs, value });
    return value;
  }

  /** Applies the last report of all daemons' load, if there is one that was not applied yet. */
  applyPendingLoads(): void {
    if (this.state.pendingLoads !== undefined) {
      const servers = pendingLoads.currentServers(this.state);
      this.change({ servers, pendingLoads: undefined });
    }
  }

  /** The retries of this daemon for one service. */
  retryBudget(service: string): admission.RetryBudget {
    const { options, daemons, retryBudgets } = this.state;
    const { retryLimits = admission.DEFAULT_RETRY_LIMITS, retrySlackFrom } = options;
    const existing = retryBudgets.get(service);
    return existing === undefined
      ? admission.newRetryBudget(retryLimits, daemons, retrySlackFrom)
      : { ...existing, daemons };
  }

  setRetryBudget(service: string, budget: admission.RetryBudget): void {
    this.change({ retryBudgets: this.state.retryBudgets.set(service, budget) });
  }

  /** A uniform random number from 0 to 1, from the seed in the state. */
  random(): number {
    const source = new clock.SeededRandomSource(this.state.randomSeed);
    const value = source.uniform();
    this.change({ randomSeed: source.integer(0, SEED_LIMIT) });
    return value;
  }

  transaction(): transaction.Transaction<state.DecisionState, effect.DecisionEffect> {
    return transaction.create(this.startState, this.state, this.effects);
  }
}

const SEED_LIMIT = 2 ** 32;
