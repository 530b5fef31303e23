/**
 * Counts the routers that share the fixed part of a fleet's retries.
 *
 * Failure: a zone is cut off, and the entries of its routers lapse. The others divide the whole fixed part among
 * themselves, while those behind the cut go on using theirs. So the share of a router stays reserved for a time after its
 * entry has disappeared, and a router that has not been listed for nearly as long uses its share no more.
 */

export interface RetrySharersOptions {
  readonly getNowMs: () => number;
  /** Names of the routers that the directory lists; a router keeps its name when it starts again. */
  readonly listRouters: () => readonly string[];
  /** Name of this router. */
  readonly self: string;
  /** Whether the directory is confirmed to be current. */
  readonly isUpToDate: () => boolean;
  /** Window of the retry budget, milliseconds. */
  readonly windowMs: number;
}

export interface RetrySharers {
  /** Routers that have been listed within the reservation, this one included. */
  readonly count: () => number;
  /** Whether all other routers still reserve the share of this one. */
  readonly isReserved: () => boolean;
}

/** Cuts of zones last minutes at most. */
const RESERVED_MS = 600_000;
/** Bounds the cost of a count: the list has hundreds of routers in a large fleet. */
const UPDATE_INTERVAL_MS = 250;
/** Bounds the memory while routers come and go. */
const MAX_ROUTERS = 10_000;

export function createRetrySharers(options: RetrySharersOptions): RetrySharers {
  const { getNowMs, listRouters, self, isUpToDate, windowMs } = options;
  /** When each router was last listed, the oldest first. */
  const listedAtMs = new Map<string, number>();
  let updatedAtMs = Number.NEGATIVE_INFINITY;
  /** A router that starts has a window to be listed, in which it uses little. */
  let confirmedAtMs = getNowMs() - RESERVED_MS + 2 * windowMs;

  function removeOld(nowMs: number): void {
    for (const [router, atMs] of listedAtMs) {
      if (nowMs - atMs < RESERVED_MS && listedAtMs.size <= MAX_ROUTERS) return;
      listedAtMs.delete(router);
    }
  }

  function update(): void {
    const nowMs = getNowMs();
    if (nowMs - updatedAtMs < UPDATE_INTERVAL_MS) return;
    updatedAtMs = nowMs;
    const routers = listRouters();
    for (const router of routers) {
      listedAtMs.delete(router);
      listedAtMs.set(router, nowMs);
    }
    if (isUpToDate() && routers.includes(self)) confirmedAtMs = nowMs;
    removeOld(nowMs);
  }

  return {
    count() {
      update();
      return Math.max(1, listedAtMs.size);
    },
    isReserved() {
      update();
      // What is spent last leaves the window before the others stop reserving it.
      return getNowMs() - confirmedAtMs < RESERVED_MS - windowMs;
    },
  };
}
