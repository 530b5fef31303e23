/** Starts routers and stand-ins as separate processes, for tests and measurements. */
export * from './answers';
export * from './daemons';
export * from './darkAddress';
export * from './fleet';
export * from './journals';
export * from './userRouter';
