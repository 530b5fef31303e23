/** Embedded default: stand-ins and one router in one process. */
export {};
