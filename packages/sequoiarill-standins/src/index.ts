/** Stand-ins for the platform, model engines and plain services. */
export * from './engine';
export * from './platform';
export * from './service';
