/** The state that daemons share: configuration revisions, claims, and the register (routing document and desired weights), over a replicated log. */
export * from './command';
export * from './control-plane';
export * from './control-node';
export * from './register';
export type { CacheSharing, DocumentTeams } from './cache-sharing';
export type { OrderHistory, RecordedOrder } from './order-history';
