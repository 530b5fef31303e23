/** The API that callers use: responses, chat completions, services. */
export {};
