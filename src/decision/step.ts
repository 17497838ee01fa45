import * as transaction from '../transaction';
import type * as effect from './effect';
import type * as state from './state';

/** Collects the changes of one event; lives only as long as one call of `update`. */
export class Step {
  readonly effects: effect.DecisionEffect[] = [];

  state: state.DecisionState;

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

  emit(given: effect.DecisionEffect): void {
    this.effects.push(given);
  }

  transaction(): transaction.Transaction<state.DecisionState, effect.DecisionEffect> {
    return transaction.create(this.startState, this.state, this.effects);
  }
}
