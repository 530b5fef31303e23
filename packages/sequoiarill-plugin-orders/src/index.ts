/** Calls to plain services, non-idempotent ones at most once. */
export {};
