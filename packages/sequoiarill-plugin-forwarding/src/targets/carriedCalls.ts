/** Remembers which calls a connection has carried: a late answer to one of them would be taken for that to the next. */

/** A call by which the answers to it and to its repeats are known. */
export interface CallKey {
  /** Equal for calls whose answers can't be told apart. */
  readonly key: string;
  /** Monotonic time after which no call with this key is sent; infinite where one always may be. */
  readonly untilMs: number;
}

export interface CarriedCalls {
  readonly has: (call: CallKey) => boolean;
  readonly add: (call: CallKey, nowMs: number) => void;
  readonly count: () => number;
}

const MIN_REMEMBERED = 16;

export function createCarriedCalls(): CarriedCalls {
  const untilMsByKey = new Map<string, number>();
  /** Number of calls at which those that can't come again are forgotten. */
  let maxRemembered = MIN_REMEMBERED;

  function removeOld(nowMs: number): void {
    for (const [key, untilMs] of untilMsByKey) if (untilMs < nowMs) untilMsByKey.delete(key);
    maxRemembered = Math.max(MIN_REMEMBERED, untilMsByKey.size * 2);
  }

  return {
    has: ({ key }) => untilMsByKey.has(key),
    count: () => untilMsByKey.size,
    add({ key, untilMs }, nowMs) {
      if (untilMsByKey.size >= maxRemembered) removeOld(nowMs);
      untilMsByKey.set(key, untilMs);
    },
  };
}
