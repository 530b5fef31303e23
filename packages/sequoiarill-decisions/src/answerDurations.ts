/**
 * Remembers the longest answers of each kind, complete or not.
 *
 * Failure: a draining router takes a stream because streams of its kind usually end in the time that is left, and cuts
 * it at its exit. Lengths have tails, and answers that were cut never show in an average. So the bound is the longest
 * answer of a long time, with those that did not end.
 */

export interface AnswerDurations {
  /** Records a complete answer; `ms` is the time from its request to its end. */
  readonly recordAnswer: (kind: string, ms: number) => void;
  /** Records a request that has lasted `ms` without a complete answer. */
  readonly recordIncomplete: (kind: string, ms: number) => void;
  /** Longest time of the last minutes, with a margin, in ms; undefined with too few complete answers. */
  readonly findLongestMs: (kind: string) => number | undefined;
}

export interface AnswerDurationsOptions {
  /** Monotonic milliseconds. */
  readonly getNowMs: () => number;
}

interface Longest {
  /** Complete answers since the first one. */
  count: number;
  windowStartMs: number;
  longestMs: number;
  longestBeforeMs: number;
}

/** The longest time is that of the current window and the one before it. */
const WINDOW_MS = 600_000;
/** Answers of engines that turn slower take longer than any before. */
const MARGIN = 1.25;
const MIN_ANSWERS = 5;
/** Bounds the memory for kinds no longer configured; the kind recorded first is evicted first. */
const MAX_KINDS = 2_000;

export function createAnswerDurations({ getNowMs }: AnswerDurationsOptions): AnswerDurations {
  const longestByKind = new Map<string, Longest>();

  function addKind(kind: string): Longest {
    const added = { count: 0, windowStartMs: getNowMs(), longestMs: 0, longestBeforeMs: 0 };
    longestByKind.set(kind, added);
    const oldest = longestByKind.keys().next();
    if (longestByKind.size > MAX_KINDS && oldest.done !== true) longestByKind.delete(oldest.value);
    return added;
  }

  function updateWindow(longest: Longest): void {
    const ageMs = getNowMs() - longest.windowStartMs;
    if (ageMs < WINDOW_MS) return;
    longest.longestBeforeMs = ageMs < WINDOW_MS * 2 ? longest.longestMs : 0;
    longest.longestMs = 0;
    longest.windowStartMs = getNowMs();
  }

  function recordDuration(kind: string, ms: number): Longest {
    const longest = longestByKind.get(kind) ?? addKind(kind);
    updateWindow(longest);
    longest.longestMs = Math.max(longest.longestMs, ms);
    return longest;
  }

  return {
    recordAnswer(kind, ms) {
      recordDuration(kind, ms).count += 1;
    },
    recordIncomplete: recordDuration,
    findLongestMs(kind) {
      const longest = longestByKind.get(kind);
      if (longest === undefined || longest.count < MIN_ANSWERS) return undefined;
      updateWindow(longest);
      const longestMs = Math.max(longest.longestMs, longest.longestBeforeMs);
      return longestMs === 0 ? undefined : longestMs * MARGIN;
    },
  };
}
