/** Emulated backend servers and VM list over HTTP, for the demo, tests and load generation. */
export * from './fault';
export * from './completion-format';
export * from './emulated-server';
export * from './engine-options';
export * from './emulated-engine';
export * from './ledger';
export * from './emulated-plain-service';
export * from './emulated-machine-list';
export * from './weight-store';
export * from './emulated-cache-store';
export * from './control-endpoint';
export * from './plain-service-options';
export * from './exported-block';
