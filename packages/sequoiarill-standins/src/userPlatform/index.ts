/** The users' platform: its store, and its targets with their failures. */
export * from './documents';
export * from './storeStandin';
export * from './targetStandin';
