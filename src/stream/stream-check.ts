import type * as backend from '../backend';
import * as transaction from '../transaction';
import * as streamState from './stream-state';

/**
 * The state before the first piece of an answer.
 *
 * @example
 * let state = start();
 */
export function initialState(): streamState.StreamState {
  return { nextPiece: 0, expectedPiece: 0, ended: false };
}

/**
 * The piece from which an attempt should resume: the last delivered one, which is compared and not
 * delivered again. Without this overlap a different text after the resume would not be detected.
 *
 * @example
 * resumePoint({ ...start(), nextPiece: 7 }); // 6
 */
export function resumePoint(state: streamState.StreamState): number {
  return Math.max(0, state.nextPiece - 1);
}

/**
 * The state after an attempt was started from a piece: `resumePoint(state)`, or `state.nextPiece` for an
 * attempt without overlap.
 *
 * @throws RangeError when the attempt would skip pieces or repeat more than one.
 */
export function resume(state: streamState.StreamState, from: number): streamState.StreamState {
  if (from > state.nextPiece || from < resumePoint(state)) {
    throw new RangeError(`cannot resume from piece ${from} when ${state.nextPiece} is next`);
  }
  return { ...state, expectedPiece: from };
}

/**
 * Checks a piece of the current attempt. Each piece is delivered exactly once and in order; the first
 * fault ends the attempt with a `Break` effect and leaves the state unchanged.
 *
 * @example
 * const { state, effects } = accept(start(), { number: 0, data: '[DONE]' });
 */
export function accept(
  state: streamState.StreamState,
  piece: backend.StreamPiece,
): transaction.Transaction<streamState.StreamState, streamState.StreamEffect> {
  const content = contentOf(piece.data);
  const fault = content === undefined ? streamState.StreamFault.Malformed : faultOf(state, piece);
  if (fault !== undefined) {
    return transaction.create(state, state, [{ kind: streamState.StreamEffectKind.Break, fault }]);
  }
  if (piece.number < state.nextPiece) {
    return transaction.create(state, { ...state, expectedPiece: state.nextPiece });
  }
  return deliver(state, piece, content);
}

/** Data of the last piece. */
export const DONE = '[DONE]';

function deliver(
  state: streamState.StreamState,
  piece: backend.StreamPiece,
  content: string | undefined,
): transaction.Transaction<streamState.StreamState, streamState.StreamEffect> {
  const next = piece.number + 1;
  const ended = piece.data === DONE;
  const after = { nextPiece: next, expectedPiece: next, lastContent: content, ended };
  const effects: streamState.StreamEffect[] = [
    { kind: streamState.StreamEffectKind.Deliver, piece },
  ];
  if (ended) {
    effects.push({ kind: streamState.StreamEffectKind.Finish });
  }
  return transaction.create(state, after, effects);
}

function faultOf(
  state: streamState.StreamState,
  piece: backend.StreamPiece,
): streamState.StreamFault | undefined {
  if (state.ended) {
    return streamState.StreamFault.AfterEnd;
  }
  if (piece.number > state.expectedPiece) {
    return streamState.StreamFault.Gap;
  }
  const isDelivered = piece.number < state.nextPiece;
  const differs =
    piece.number === state.nextPiece - 1 && contentOf(piece.data) !== state.lastContent;
  if (isDelivered && differs) {
    return streamState.StreamFault.Restart;
  }
  if (piece.number < state.expectedPiece) {
    const isRestart = piece.number === 0 && state.expectedPiece > 1;
    return isRestart ? streamState.StreamFault.Restart : streamState.StreamFault.Repeat;
  }
  return undefined;
}

/** The part of a chunk that must be equal on every engine; id, time and usage may differ. */
function contentOf(data: string): string | undefined {
  if (data === DONE) {
    return data;
  }
  try {
    const { choices } = JSON.parse(data);
    return Array.isArray(choices) ? JSON.stringify(choices) : undefined;
  } catch {
    return undefined;
  }
}
