/** Waits for conditions in the tests of the fault matrix, with a timeout that fails the test. */
import { setTimeout as startTimeout } from 'node:timers/promises';

const POLL_MS = 1;
/** Far longer than any wait of these tests; only a hang exceeds it. */
const WAIT_TIMEOUT_MS = 30_000;

/** Resolves when the condition holds; rejects with the description after the timeout. */
export async function waitUntil(
  description: string,
  isMet: () => boolean | Promise<boolean>,
): Promise<void> {
  const untilMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!(await isMet())) {
    if (performance.now() > untilMs) throw new Error(`timed out waiting for: ${description}`);
    await startTimeout(POLL_MS);
  }
}

/**
 * Resolves when a positive number is the same after an interval; rejects when it stays 0 for the timeout. While
 * it changes, work is in progress, however long that takes on a busy machine.
 */
export async function waitUntilSteady(
  description: string,
  readNumber: () => Promise<number>,
  intervalMs: number,
): Promise<void> {
  let previous = 0;
  await waitUntil(description, async () => {
    previous = await readNumber();
    return previous > 0;
  });
  for (;;) {
    await startTimeout(intervalMs);
    const current = await readNumber();
    if (current === previous && current > 0) return;
    previous = current;
  }
}

/** Resolves with the value, or rejects with the description after the timeout. */
export async function waitFor<Value>(description: string, promise: Promise<Value>): Promise<Value> {
  const settled = new AbortController();
  const timeout = startTimeout(WAIT_TIMEOUT_MS, undefined, { signal: settled.signal }).then(() => {
    throw new Error(`timed out waiting for: ${description}`);
  });
  timeout.catch(() => undefined);
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    settled.abort();
  }
}
