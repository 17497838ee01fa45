/** Connects the decision core with the daemon: execution of requests, claims, membership and load polls. */
export * from './answer-sink';
export * from './attempt-execution';
export * from './stream-execution';
export * from './backend-factory';
export * from './backend-pool';
export * from './catalog';
export * from './claim-commit-queue';
export * from './claim-manager';
export * from './completion-request';
export * from './decision-core';
export * from './decision-task';
export * from './engine-execution';
export * from './execution-context';
export * from './membership-task';
export * from './poll-task';
export * from './router';
export * from './server-observer';
