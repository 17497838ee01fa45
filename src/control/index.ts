/** The state that daemons share: configuration revisions, claims and the register over a replicated log. */
export * from './command';
export * from './control-plane';
export * from './control-node';
export * from './register';
