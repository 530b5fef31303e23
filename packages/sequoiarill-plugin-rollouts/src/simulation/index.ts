/** Simulations of roll-outs over many routers in virtual time, for tests and benchmarks. */
export * from './cases';
export type * from './rolloutCase';
export * from './simulateRollout';
export * from './strategies';
