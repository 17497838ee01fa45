/** Settings of `figlined`, from flags and environment variables, all checked at start. */
export * from './address';
export * from './definition';
export * from './table';
export * from './load';
export { MachineListSource, type MachineListLocation } from './parsers';
