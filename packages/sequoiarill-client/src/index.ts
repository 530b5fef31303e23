/** A client that resumes an answer by itself. */
export * from './backoff';
export * from './client';
export type { ResponseRequest } from './connection';
export type * from './outcomes';
export type { TextDelta } from './reading';
