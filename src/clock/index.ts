/** Clocks and random sources, injected into every core and adapter so that tests and benchmarks control them. */
export * from './clock';
export * from './system-clock';
export * from './manual-clock';
export * from './suspension-detector';
export * from './random-source';
export * from './system-random-source';
export * from './seeded-random-source';
