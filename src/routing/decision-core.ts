import * as decision from '../decision';
import type * as transaction from '../transaction';

/** Interface of the decision core to the decision task: an opaque state and a pure update function. */
export interface DecisionCore<State> {
  readonly startState: State;
  readonly update: (
    state: State,
    event: decision.DecisionEvent,
  ) => transaction.Transaction<State, decision.DecisionEffect>;
  /** Whether requests wait for a server, so that ticks have to check their deadlines often. */
  readonly isWaiting: (state: State) => boolean;
}
