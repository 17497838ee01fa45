/** The daemon: HTTP listeners for callers and operators, wiring of the tasks, graceful shutdown. */
export * from './authentication';
export * from './caller-limits';
export * from './daemon';
export * from './connection-places';
export * from './copy-monitor';
export * from './daemon-ports';
export * from './start-daemon';
export * from './error-body';
export * from './http-listener';
export * from './readiness';
export * from './failure-filter';
