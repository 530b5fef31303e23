/** Starts routers and stand-ins as separate processes, for tests and measurements. */
export * from './answers';
export * from './crashingParts/partEngines';
export * from './crashingParts/partFleet';
export * from './crashingParts/partPlay';
export * from './daemons';
export * from './darkAddress';
export * from './fleet';
export * from './journals';
export * from './userRouter';
