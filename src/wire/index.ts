/** Authenticated, framed TCP links between daemons. */
export * from './address';
export * from './codec';
export * from './frame';
export * from './handshake';
export * from './link';
export * from './peer-network';
