import * as zod from 'zod';

/** Faults that can be injected into an emulated server while it handles a request. */
export enum FaultKind {
  /** Resets a connection as soon as it is accepted. */
  ResetOnAccept = 'reset-on-accept',
  /** Resets after the headers and a part of the body were read; the request is not run. */
  ResetMidBody = 'reset-mid-body',
  /** Resets after the whole request was read and, in a plain service, executed. */
  ResetAfterBody = 'reset-after-body',
  /** Resets in the middle of the answer; in a stream at the piece `atPiece`. */
  ResetMidAnswer = 'reset-mid-answer',
  /** Closes a chunked answer in the middle, with `connection: close`, without a reset. */
  CutAnswer = 'cut-answer',
  /** Refuses the request with `x-not-run: true` and does not run it. */
  Refuse = 'refuse',
  /** Resets in the middle of the body of a refusal, after the request was executed. */
  CutRefusal = 'cut-refusal',
  /** Answers with the id of another request. */
  CrossedId = 'crossed-id',
  /** Sends the answer twice on the connection. */
  DuplicateAnswer = 'duplicate-answer',
  /** Waits for `delayMilliseconds` before it answers. */
  LateAnswer = 'late-answer',
  /** Executes the request and never answers; the connection stays open. */
  NoAnswer = 'no-answer',
  /** Stops sending in the middle of a stream, comment lines included, and keeps the connection open. */
  Silent = 'silent',
  /** Sends a piece of a stream twice. */
  RepeatPiece = 'repeat-piece',
  /** Leaves out a piece of a stream. */
  SkipPiece = 'skip-piece',
  /** Starts the stream again from piece 0 with another text. */
  RestartText = 'restart-text',
  /** Ends a stream without `[DONE]`. */
  EndEarly = 'end-early',
  /** Crashes the whole server once the request has been read. */
  Crash = 'crash',
}

export const faultSchema = zod.object({
  kind: zod.enum(FaultKind),
  /** Number of requests or connections with the fault. */
  times: zod.int().min(1).default(1),
  /** Number of the piece of a stream at which the fault occurs. */
  atPiece: zod.int().min(0).default(0),
  delayMilliseconds: zod.int().min(0).default(0),
  /** Prefix of the paths of affected requests; empty for all paths except those of management calls. */
  path: zod.string().default(''),
});

export type Fault = zod.infer<typeof faultSchema>;
export type FaultInput = zod.input<typeof faultSchema>;
