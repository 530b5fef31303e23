/** Stand-in for the network link between two processes. */
export * from './link';
