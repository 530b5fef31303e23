/** Simulations of engines and routers under load in virtual time, for tests and benchmarks. */
export * from './capacity';
export * from './simulationMetrics';
export * from './workloads';
export * from './simulateWorkload';
export * from './policies';
export * from './random';
