/** The `figline` command and the operator HTTP interface that it shares with the daemon. */
export * from './operator-api';
export * from './exit-code';
export * from './command-line';
