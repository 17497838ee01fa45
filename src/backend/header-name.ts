/** Headers between figline and backend servers, as described in docs/BACKENDS.md. */
export enum HeaderName {
  RequestId = 'x-request-id',
  AttemptId = 'x-attempt-id',
  Team = 'x-team',
  Model = 'x-model',
  WeightsVersion = 'x-weights-version',
  Priority = 'x-priority',
  PrefixChain = 'x-prefix-chain',
  ResumeFrom = 'x-resume-from',
  Incarnation = 'x-incarnation',
  NotRun = 'x-not-run',
  BackendState = 'x-backend-state',
}

/** Value of `x-backend-state` in answers of a server that accepts no new requests. */
export const LEAVING = 'leaving';
