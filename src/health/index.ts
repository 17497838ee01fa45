/** Detects servers that are slower than their peers, and requests that crash servers. */
export * from './crash-evidence';
export * from './quarantine';
export * from './timing';
