/** The command-line interface and the router daemon of sequoiarill as a library. */
export { createProgram } from './cli';
export { loadSettings, parseSettings, startRouter } from './router';
export type { Router } from './router';
