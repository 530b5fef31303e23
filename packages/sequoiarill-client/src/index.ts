/** Client that resumes interrupted responses automatically. */
export * from './backoff';
export * from './client';
export type { ResponseRequest } from './connection';
export type * from './outcomes';
export type { TextDelta } from './deltaReader';
