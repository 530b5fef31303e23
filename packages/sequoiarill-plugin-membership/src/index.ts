/** Routers of a region know each other and the health of their targets. */
export {};
