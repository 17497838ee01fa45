/** Settings of `figlined`, from flags and environment variables, all validated at start. */
export * from './address';
export * from './definition';
export * from './table';
export * from './load';
export { readSecrets } from './secret-file';
export { MachineListSource, type MachineListLocation } from './parsers';
