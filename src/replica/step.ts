import * as transaction from '../transaction';
import * as effects from './effect';
import type * as entry from './entry';
import type * as events from './event';
import * as logs from './log';
import type * as message from './message';
import * as states from './state';

/** The processing of one event: the state so far and the effects to carry out. */
export interface Step {
  readonly context: events.EventContext;
  readonly state: states.ReplicaState;
  /** Sends, answers to proposals and reports, in order. */
  readonly output: readonly effects.ReplicaEffect[];
  /** Lowest index at which the log was replaced or extended. */
  readonly changedFrom?: number;
  /** The state machine must be restored from `state.snapshot`. */
  readonly isRestored?: boolean;
}

export function start(state: states.ReplicaState, context: events.EventContext): Step {
  return { context, state, output: [] };
}

/** Replaces fields of the state. */
export function withState(step: Step, changes: Partial<states.ReplicaState>): Step {
  return { ...step, state: { ...step.state, ...changes } };
}

/** Sends a message to the replica with a certain id. */
export function send(step: Step, to: entry.Member, body: message.Body): Step {
  return sendEnvelope(step, body, to.address, to.replicaId);
}

/** Sends a message to an address, whatever the id of the replica there. */
export function sendToAddress(step: Step, toAddress: string, body: message.Body): Step {
  return sendEnvelope(step, body, toAddress);
}

/** Emits a line for the daemon's log output. */
export function report(step: Step, notice: effects.Notice, detail?: string): Step {
  const { term } = step.state;
  return emit(step, { kind: effects.EffectKind.Report, notice, term, detail });
}

export function emit(step: Step, effect: effects.ReplicaEffect): Step {
  return { ...step, output: [...step.output, effect] };
}

/** Replaces the entries after `previousIndex` with others. */
export function replaceLog(step: Step, previousIndex: number, added: readonly entry.Entry[]): Step {
  const { state } = step;
  const log = logs.append(logs.truncateAfter(state.log, previousIndex), added);
  const groups = states.groupsAfter(state.groups, previousIndex, added);
  const first = previousIndex + 1;
  return {
    ...withState(step, { log, groups }),
    changedFrom: Math.min(step.changedFrom ?? first, first),
  };
}

/**
 * Ends an event. The changes of the durable part of the state become one `Persist` effect before every
 * message, so that nothing is acknowledged before it is on disk.
 */
export function finish(
  startState: states.ReplicaState,
  step: Step,
): transaction.Transaction<states.ReplicaState, effects.ReplicaEffect> {
  const { state } = step;
  const list: effects.ReplicaEffect[] = [];
  const persist = persistence(startState, step);
  if (persist !== undefined) {
    list.push(persist);
  }
  if (step.isRestored === true && state.snapshot !== undefined) {
    list.push({ kind: effects.EffectKind.Restore, snapshot: state.snapshot });
  }
  list.push(...step.output);
  const appliedIndex = step.isRestored === true ? state.snapshot!.index : startState.commitIndex;
  if (state.commitIndex > appliedIndex) {
    const entries = logs.slice(state.log, appliedIndex + 1, state.commitIndex);
    list.push({ kind: effects.EffectKind.Apply, entries });
  }
  return transaction.create(startState, state, list);
}

function persistence(startState: states.ReplicaState, step: Step): effects.Persist | undefined {
  const { state, changedFrom } = step;
  const isHardStateNew = state.term !== startState.term || state.votedFor !== startState.votedFor;
  const isSnapshotNew = state.snapshot !== startState.snapshot;
  if (!isHardStateNew && !isSnapshotNew && changedFrom === undefined) {
    return undefined;
  }
  const { term, votedFor } = state;
  const isTruncating = changedFrom !== undefined && changedFrom <= logs.lastIndex(startState.log);
  const last = logs.lastIndex(state.log);
  return {
    kind: effects.EffectKind.Persist,
    hardState: isHardStateNew ? { term, votedFor } : undefined,
    truncateAfter: isTruncating ? changedFrom - 1 : undefined,
    entries: changedFrom === undefined ? [] : logs.slice(state.log, changedFrom, last),
    snapshot: isSnapshotNew ? state.snapshot : undefined,
    compactTo: isSnapshotNew ? state.log.baseIndex : undefined,
  };
}

function sendEnvelope(step: Step, body: message.Body, toAddress: string, toId?: string): Step {
  const { self, term } = step.state;
  const full = { ...body, from: self, toAddress, toId, term } as message.Message;
  return emit(step, { kind: effects.EffectKind.Send, message: full });
}
