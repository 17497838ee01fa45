import type * as backend from '../backend';

/** Delivery progress of one answer over all attempts. */
export interface StreamState {
  /** Number of the next piece to deliver; a resume continues here. */
  readonly nextPiece: number;
  /** Number of the piece that the current attempt sends next; below `nextPiece` during the overlap. */
  readonly expectedPiece: number;
  /** Content of the last delivered piece, which a resumed attempt must repeat exactly. */
  readonly lastContent?: string;
  readonly ended: boolean;
}

/** Why a piece is not accepted. */
export enum StreamFault {
  /** The piece skips at least one number. */
  Gap = 'gap',
  /** The piece has a number that was received before. */
  Repeat = 'repeat',
  /** The engine started a different text. */
  Restart = 'restart',
  /** The data is not a chunk of the completions API. */
  Malformed = 'malformed',
  /** The piece follows `[DONE]`. */
  AfterEnd = 'after-end',
}

export enum StreamEffectKind {
  Deliver = 'deliver',
  Finish = 'finish',
  Break = 'break',
}

/** Sends the piece to the caller. */
export interface Deliver {
  readonly kind: StreamEffectKind.Deliver;
  readonly piece: backend.StreamPiece;
}

/** The answer is complete; `[DONE]` was the last piece. */
export interface Finish {
  readonly kind: StreamEffectKind.Finish;
}

/** Cancels the attempt; another attempt can resume the stream. */
export interface Break {
  readonly kind: StreamEffectKind.Break;
  readonly fault: StreamFault;
}

export type StreamEffect = Deliver | Finish | Break;
