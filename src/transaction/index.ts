/**
 * Result of one event in a decision core of figline. A core never changes its state in place; it returns
 * the new state and the effects. The adapter stores `state`, then carries out `effects` in order.
 */
export interface Transaction<State, Effect> {
  /** State before the event. */
  readonly startState: State;
  /** State after the event; the same object as `startState` when nothing changed. */
  readonly state: State;
  /** What the adapter has to do, in order, after it has stored `state`. */
  readonly effects: readonly Effect[];
}

/**
 * Builds a transaction.
 *
 * @example
 * return transaction.create(view, { ...view, revision: 7 }, [{ kind: EffectKind.Persist }]);
 */
export function create<State, Effect>(
  startState: State,
  state: State,
  effects: readonly Effect[] = [],
): Transaction<State, Effect> {
  return { startState, state, effects };
}
