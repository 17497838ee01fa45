/** Routing tables of a platform: hosts and path prefixes, services, teams and credentials. */
export * from './validation';
export * from './decision-documents';
export * from './request-priority';
export * from './route-index';
export * from './routing-table';
