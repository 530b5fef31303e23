/** Embedded demo: stand-ins and one router in one process. */
export * from './demo';
export * from './document';
