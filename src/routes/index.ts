/** Routing tables of a platform: hosts and path prefixes, services, teams and their credentials. */
export * from './check';
export * from './decision-documents';
export * from './route-index';
export * from './routing-table';
