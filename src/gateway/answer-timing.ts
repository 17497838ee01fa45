import type * as logging from '../logging';

/** Timing of the pieces of an answer as its caller observes it, in milliseconds of the monotonic clock. */
export interface AnswerTiming {
  readonly startedAt: number;
  readonly pieces: number;
  readonly lastAt: number;
  readonly firstMilliseconds?: number;
  readonly longestPauseMilliseconds: number;
}

/** The timing of an answer of which nothing was written yet; `startedAt` is when the request arrived. */
export function startTiming(startedAt: number): AnswerTiming {
  return { startedAt, pieces: 0, lastAt: startedAt, longestPauseMilliseconds: 0 };
}

/**
 * Records that a piece was written.
 *
 * @example
 * pieceWritten(startTiming(0), 120).firstMilliseconds; // 120
 */
export function pieceWritten(timing: AnswerTiming, at: number): AnswerTiming {
  const { firstMilliseconds, longestPauseMilliseconds, lastAt } = timing;
  const pause = firstMilliseconds === undefined ? 0 : at - lastAt;
  return {
    ...timing,
    pieces: timing.pieces + 1,
    lastAt: at,
    firstMilliseconds: firstMilliseconds ?? at - timing.startedAt,
    longestPauseMilliseconds: Math.max(longestPauseMilliseconds, pause),
  };
}

/** Log fields of an answer's timing. They separate a late first piece from a pause in the middle of a stream. */
export function timingFields(timing: AnswerTiming): logging.LogFields {
  const { pieces, firstMilliseconds, longestPauseMilliseconds } = timing;
  return firstMilliseconds === undefined
    ? {}
    : {
        pieces,
        firstMilliseconds: Math.round(firstMilliseconds),
        longestPauseMilliseconds: Math.round(longestPauseMilliseconds),
      };
}
