/** Benchmarks of the decision core in virtual time; `run.ts` is the program. */
export * from './bench-case';
export * from './cases';
