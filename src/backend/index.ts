/** Ports and adapters towards backend servers and the platform's list of VMs. */
export * from './machine';
export * from './load-report';
export * from './probe-report';
export * from './engine-stream';
export * from './model-engine';
export * from './plain-service';
export * from './backend-address';
export * from './backend-limits';
export * from './header-name';
export * from './http-model-engine';
export * from './http-plain-service';
export * from './http-machine-list';
export * from './file-machine-list';
