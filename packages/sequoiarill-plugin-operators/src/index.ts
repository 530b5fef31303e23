/** State dump, explanations, readiness and draining for operators. */
export {};
