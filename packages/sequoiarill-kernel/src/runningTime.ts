/**
 * Measures running time: the time during which this process was able to receive messages.
 *
 * A process that is paused, or whose event loop is blocked under load, receives nothing in the
 * meantime. With timeouts measured by the clock alone, all peers that it waits for would appear
 * silent and time out when it resumes.
 */
import type { ProcessDelay } from '@sequoiarill/types';

/** Interval at which the running time is updated in the background. */
export const RUNNING_TIME_TICK_MS = 50;
/**
 * A longer gap between two updates is a pause of this process, of which only this much is counted.
 */
const MAX_COUNTED_GAP_MS = 2 * RUNNING_TIME_TICK_MS;
/**
 * After a pause, running time stops for as long as the pause lasted, up to this limit: responses in
 * the socket buffers must be read first, and other processes may have been paused as well.
 */
const MAX_GRACE_MS = 250;

/** A shorter delay ends no wait on another process; the shortest timeout of a probe is 35 ms. */
const MIN_DELAY_MS = 20;
/** For this long a delay is not replaced by a shorter one, which a busy process has several times a second. */
const DELAY_KEPT_MS = 10_000;

/**
 * Minimum delay of a rearmed timer; prevents rapid rearming while running time stops after a pause.
 */
const MIN_TIMER_MS = 10;

/**
 * Keeps the longest delay of the last ten seconds, or the last one where there was none since. A delay is at least as
 * long as a tick was late; between two ticks, one shorter than `RUNNING_TIME_TICK_MS` may go unnoticed.
 */
export function createDelayRecord(
  startedMs: number,
  runAfterReads: (callback: () => void) => void,
) {
  let tickedAtMs = startedMs;
  let last: ProcessDelay | undefined;
  /** Delays that may not be followed by the reads of all that arrived in them, oldest first. */
  const unreadDelaysMs: number[] = [];

  function recordDelay(delay: ProcessDelay): void {
    const isKept =
      last !== undefined &&
      last.lastedMs > delay.lastedMs &&
      delay.endedAtMs - last.endedAtMs < DELAY_KEPT_MS;
    if (!isKept) last = delay;
  }

  /** A connection that was opened during the delay is accepted first, and read one or two iterations later. */
  function addReadDelay(lastedMs: number): void {
    unreadDelaysMs.push(lastedMs);
    runAfterReads(() => runAfterReads(() => unreadDelaysMs.shift()));
  }

  return {
    /** Must be called by a timer every `RUNNING_TIME_TICK_MS`. */
    recordTick(nowMs: number): void {
      const lastedMs = nowMs - tickedAtMs - RUNNING_TIME_TICK_MS;
      tickedAtMs = nowMs;
      if (lastedMs < MIN_DELAY_MS) return;
      recordDelay({ endedAtMs: nowMs, lastedMs });
      addReadDelay(lastedMs);
    },
    getLastDelay: (): ProcessDelay | undefined => last,
    /** Timers fire before sockets are read, so that the delay is known when the first data after it is read. */
    getReadDelayMs: () => Math.max(0, ...unreadDelaysMs),
  };
}

/**
 * Returns a function that reads the running time; it must be called at least once per
 * `RUNNING_TIME_TICK_MS`.
 */
export function createRunningTime(getNowMs: () => number): () => number {
  let lastReadMs = getNowMs();
  let graceUntilMs = lastReadMs;
  let runningMs = 0;

  return function getRunningMs() {
    const nowMs = getNowMs();
    const gapMs = nowMs - lastReadMs;
    if (gapMs > MAX_COUNTED_GAP_MS) {
      runningMs += MAX_COUNTED_GAP_MS;
      graceUntilMs = nowMs + Math.min(gapMs, MAX_GRACE_MS);
    } else runningMs += Math.max(0, nowMs - Math.max(lastReadMs, graceUntilMs));
    lastReadMs = nowMs;
    return runningMs;
  };
}

/**
 * Calls `callback` after pending socket reads. The event loop runs timers before socket reads, so
 * after a pause or a blocked event loop timers fire before received data is read; two more
 * iterations read it.
 */
export function runAfterPendingReads(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}

/** Calls `onDue` after `ms` of running time; returns a function that stops the timer. */
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
