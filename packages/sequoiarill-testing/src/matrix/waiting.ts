/** Waits of the matrix tests: for a condition, with a bound that fails the test. */
import { setTimeout as startTimeout } from 'node:timers/promises';

const POLL_MS = 1;
/** Far above any wait of these tests; a wait that reaches it has found a hang. */
const BOUND_MS = 30_000;

/** Resolves when the condition holds; rejects with what was waited for at the bound. */
export async function waitUntil(
  what: string,
  isMet: () => boolean | Promise<boolean>,
): Promise<void> {
  const untilMs = performance.now() + BOUND_MS;
  while (!(await isMet())) {
    if (performance.now() > untilMs) throw new Error(`waited in vain: ${what}`);
    await startTimeout(POLL_MS);
  }
}

/** Resolves with the value, or rejects with what was waited for at the bound. */
export async function waitFor<Value>(what: string, promise: Promise<Value>): Promise<Value> {
  const settled = new AbortController();
  const bound = startTimeout(BOUND_MS, undefined, { signal: settled.signal }).then(() => {
    throw new Error(`waited in vain: ${what}`);
  });
  bound.catch(() => undefined);
  try {
    return await Promise.race([promise, bound]);
  } finally {
    settled.abort();
  }
}
