/** Stand-ins for the platform, model engines, plain services and the network. */
export * from './engine';
export * from './platform';
export * from './service';
export * from './link';
export * from './userPlatform';
