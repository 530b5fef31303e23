/** Measurements: ratios in one run, printed as JSON. */
export * from './output';
