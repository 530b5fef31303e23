/** The parts without I/O, for benchmarks that use neither sockets nor a kernel. */
export * from './exchangeHandlers';
export * from './exchangeState';
export * from './exchangeTasks';
export * from './failureDetector';
export type * from './messages';
export * from './partners';
export * from './peerRegistry';
export * from './rounds';
export * from './targetHealthRegistry';
