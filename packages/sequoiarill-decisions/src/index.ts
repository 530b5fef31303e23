/** Decisions under load: pure, without network or clock. */
export {};
