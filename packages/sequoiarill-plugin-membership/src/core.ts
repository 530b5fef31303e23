/** The pure parts, for measurements that need neither sockets nor a kernel. */
export * from './exchangeHandlers';
export * from './exchangeState';
export * from './exchangeTasks';
export * from './failureDetector';
export type * from './messages';
export * from './partners';
export * from './peerRegistry';
export * from './rounds';
export * from './targetHealthRegistry';
