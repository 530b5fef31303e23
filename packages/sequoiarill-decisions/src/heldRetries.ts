/** Retries whose requests may reach a target later, which has not answered them. */

export interface HeldRetries {
  readonly add: (target: string, nowMs: number) => void;
  /** Returns how many of the target are held no more. */
  readonly remove: (target: string) => number;
  /** Those that are held; the others are passed to `handleExpired`, with the time until when they were. */
  readonly count: (
    nowMs: number,
    handleExpired: (count: number, untilMs: number) => void,
  ) => number;
}

interface Held {
  readonly count: number;
  readonly untilMs: number;
}

/** Longest time for which a target may stand still, or a link may hold bytes back, and deliver them afterwards. */
const MAX_HELD_MS = 20_000;

export function createHeldRetries(): HeldRetries {
  const heldByTarget = new Map<string, Held>();

  function remove(target: string): number {
    const count = heldByTarget.get(target)?.count ?? 0;
    heldByTarget.delete(target);
    return count;
  }

  return {
    add(target, nowMs) {
      const count = (heldByTarget.get(target)?.count ?? 0) + 1;
      heldByTarget.set(target, { count, untilMs: nowMs + MAX_HELD_MS });
    },
    remove,
    count(nowMs, handleExpired) {
      let sum = 0;
      for (const [target, { count, untilMs }] of heldByTarget) {
        if (untilMs > nowMs) sum += count;
        else handleExpired(remove(target), untilMs);
      }
      return sum;
    },
  };
}
