/** Command line and router daemon of sequoiarill, as a library. */
export { createProgram } from './cli';
export { loadSettings, parseSettings, startRouter } from './router';
export type { Router } from './router';
