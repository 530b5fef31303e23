/** Link stand-in: the network between two processes. */
export * from './link';
