/** The state that daemons share: configuration revisions and claims over a replicated log. */
export * from './command';
export * from './control-plane';
export * from './control-node';
export * from './register';
