/** Measurements that compare values of the same run and print them as JSON. */
export * from './output';
