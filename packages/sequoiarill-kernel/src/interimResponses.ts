/** Bounds the interim responses that another process may send ahead of its response. */

/**
 * A process may announce for minutes that it is at work. Each interim response also restarts undici's timeout for the head,
 * and parsing them without end takes the processor time.
 */
export const MAX_INTERIM_RESPONSES = 128;

/** Returns a function to call for each interim response of a call; `abort` is called when there are too many. */
export function createInterimLimit(abort: (error: Error) => void): () => void {
  let count = 0;
  return () => {
    count += 1;
    if (count > MAX_INTERIM_RESPONSES) {
      abort(new Error(`more than ${MAX_INTERIM_RESPONSES} interim responses`));
    }
  };
}
