/** A client that resumes an answer by itself. */
export {};
