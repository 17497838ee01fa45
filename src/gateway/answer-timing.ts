import type * as logging from '../logging';

/** When the pieces of an answer were written, as far as callers feel it. */
export interface AnswerTiming {
  readonly startedAt: number;
  readonly pieces: number;
  readonly lastAt: number;
  readonly firstMilliseconds?: number;
  readonly longestPauseMilliseconds: number;
}

/** The pacing of an answer of which nothing was written; `startedAt` is when its request arrived. */
export function startTiming(startedAt: number): AnswerTiming {
  return { startedAt, pieces: 0, lastAt: startedAt, longestPauseMilliseconds: 0 };
}

/**
 * Notes that a piece was written.
 *
 * @example
 * pieceWritten(startPacing(0), 120).firstMilliseconds; // 120
 */
export function pieceWritten(pacing: AnswerTiming, at: number): AnswerTiming {
  const { firstMilliseconds, longestPauseMilliseconds, lastAt } = pacing;
  const pause = firstMilliseconds === undefined ? 0 : at - lastAt;
  return {
    ...pacing,
    pieces: pacing.pieces + 1,
    lastAt: at,
    firstMilliseconds: firstMilliseconds ?? at - pacing.startedAt,
    longestPauseMilliseconds: Math.max(longestPauseMilliseconds, pause),
  };
}

/** What the log says of an answer's pacing: a stream is late by its first piece or by a pause. */
export function timingFields(pacing: AnswerTiming): logging.LogFields {
  const { pieces, firstMilliseconds, longestPauseMilliseconds } = pacing;
  return firstMilliseconds === undefined
    ? {}
    : {
        pieces,
        firstMilliseconds: Math.round(firstMilliseconds),
        longestPauseMilliseconds: Math.round(longestPauseMilliseconds),
      };
}
