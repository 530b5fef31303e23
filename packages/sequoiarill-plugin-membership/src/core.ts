/** The pure parts, for measurements that need neither sockets nor a kernel. */
export * from './exchangeAnswers';
export * from './exchangeState';
export * from './exchangeTasks';
export * from './failureDetector';
export type * from './messages';
export * from './partners';
export * from './peerTable';
export * from './rounds';
export * from './targetTable';
