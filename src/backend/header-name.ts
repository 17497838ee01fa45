/** Names of the headers between figline and backend servers; docs/BACKENDS.md describes them. */
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

/** Value of `x-backend-state` on answers of a server that takes no new work. */
export const LEAVING = 'leaving';
