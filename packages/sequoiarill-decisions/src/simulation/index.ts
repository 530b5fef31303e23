/** Played loads: a queueing model of engines and routers in virtual time, for tests and the bench. */
export * from './capacity';
export * from './simulationMetrics';
export * from './workloads';
export * from './simulateWorkload';
export * from './policies';
export * from './random';
