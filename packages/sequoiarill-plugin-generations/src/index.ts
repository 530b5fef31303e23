/** Runs one generation over engines that fail: dispatch, relay, continuation. */
export {};
