/**
 * Time in which this process could hear others.
 *
 * A process that is paused, or starved by its own load, hears nobody meanwhile. Measured by the clock alone,
 * each process that it waits for looks silent for as long, and all of them are given up when it goes on.
 */

/** How often the time is looked at while nobody asks, milliseconds. */
export const RUNNING_TICK_MS = 50;
/** A longer gap is a pause of this process, milliseconds; only so much of it counts. */
const MAX_STEP_MS = 2 * RUNNING_TICK_MS;
/**
 * After a pause time stands still for as long as the pause was, but no longer than this, milliseconds:
 * answers that wait in sockets have to be read, and others may have been paused as well.
 */
const MAX_GRACE_MS = 250;

/** Time can stand still after a pause; a timer is not set anew for less than this, milliseconds. */
const MIN_TIMER_MS = 10;

/** Returns what reads the running time, milliseconds; it must be called once a tick or more often. */
export function createRunningTime(getNowMs: () => number): () => number {
  let seenMs = getNowMs();
  let graceUntilMs = seenMs;
  let runningMs = 0;

  return function getRunningMs() {
    const nowMs = getNowMs();
    const gapMs = nowMs - seenMs;
    if (gapMs > MAX_STEP_MS) {
      runningMs += MAX_STEP_MS;
      graceUntilMs = nowMs + Math.min(gapMs, MAX_GRACE_MS);
    } else runningMs += Math.max(0, nowMs - Math.max(seenMs, graceUntilMs));
    seenMs = nowMs;
    return runningMs;
  };
}

/**
 * Timers come before sockets in a turn of the event loop: in a process that was held up they are due before
 * what has arrived was read. Two more turns read it.
 */
export function runAfterPendingReads(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}

/** Calls `onDue` after so many milliseconds of running time; returns what stops it. */
export function startRunningTimer(
  getRunningMs: () => number,
  ms: number,
  onDue: () => void,
): () => void {
  const dueMs = getRunningMs() + ms;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  function handleDue(): void {
    if (!isStopped) onDue();
  }

  function checkDue(): void {
    const leftMs = dueMs - getRunningMs();
    if (leftMs > 0) timer = setTimeout(checkDue, Math.max(MIN_TIMER_MS, leftMs));
    else runAfterPendingReads(handleDue);
  }

  timer = setTimeout(checkDue, ms);
  return () => {
    isStopped = true;
    clearTimeout(timer);
  };
}
