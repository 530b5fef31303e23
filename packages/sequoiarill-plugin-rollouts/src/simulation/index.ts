/** Roll-outs played over many routers in virtual time, for tests and measurements. */
export * from './cases';
export type * from './rolloutCase';
export * from './simulateRollout';
export * from './strategies';
