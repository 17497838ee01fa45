import * as decision from '../decision';
import type * as transaction from '../transaction';

/** The decision core as its adapter sees it: an opaque state and a pure function. */
export interface DecisionCore<State> {
  readonly startState: State;
  readonly update: (
    state: State,
    event: decision.DecisionEvent,
  ) => transaction.Transaction<State, decision.DecisionEffect>;
  /** Whether requests wait for a server, so that their deadlines have to be watched closely. */
  readonly isWaiting: (state: State) => boolean;
}
