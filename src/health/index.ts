/** Which servers are slow at present, and which requests crash servers. */
export * from './quarantine';
export * from './timing';
