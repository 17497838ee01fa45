import type * as backend from '../backend';

/** How far one answer has been delivered, over all attempts at it. */
export interface StreamState {
  /** Number of the next piece to deliver; a resume continues here. */
  readonly nextPiece: number;
  /** Number of the next piece that the current attempt has to send; below `nextPiece` while it overlaps. */
  readonly expectedPiece: number;
  /** Content of the last delivered piece, which a resumed attempt has to repeat exactly. */
  readonly lastContent?: string;
  readonly ended: boolean;
}

/** What is wrong with a piece. */
export enum StreamFault {
  /** A number was left out. */
  Gap = 'gap',
  /** A number came again. */
  Repeat = 'repeat',
  /** The engine began another text. */
  Restart = 'restart',
  /** The data is no chunk of the completions API. */
  Malformed = 'malformed',
  /** A piece followed `[DONE]`. */
  AfterEnd = 'after-end',
}

export enum StreamEffectKind {
  Deliver = 'deliver',
  Finish = 'finish',
  Break = 'break',
}

/** Pass the piece on to the caller. */
export interface Deliver {
  readonly kind: StreamEffectKind.Deliver;
  readonly piece: backend.StreamPiece;
}

/** The answer is complete; `[DONE]` was the last piece. */
export interface Finish {
  readonly kind: StreamEffectKind.Finish;
}

/** Cancel the attempt; the stream can be resumed by another one. */
export interface Break {
  readonly kind: StreamEffectKind.Break;
  readonly fault: StreamFault;
}

export type StreamEffect = Deliver | Finish | Break;
