/** Compares the arrivals at targets beyond the first of each request with what the rule of a fleet allows. */

export interface Arrival {
  readonly requestId: string;
  readonly target: string;
  /** Milliseconds. */
  readonly atMs: number;
  /** Time that the request allowed its target from then on, milliseconds; undefined where it named none. */
  readonly limitMs: number | undefined;
}

export interface SentRequest {
  readonly id: string;
  readonly atMs: number;
}

export interface Rule {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

/** Distance of the windows that are compared. */
const STEP_MS = 50;

/** Counts sorted times within windows. */
function createCounter(timesMs: readonly number[]) {
  const sorted = [...timesMs].sort((left, right) => left - right);
  function countUntil(atMs: number): number {
    let low = 0;
    let high = sorted.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((sorted[middle] ?? 0) <= atMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }
  return {
    sorted,
    countWithin: (fromMs: number, untilMs: number) => countUntil(untilMs) - countUntil(fromMs),
  };
}

/** Times of all arrivals but the first one of each request. */
export function listRepeatTimes(arrivals: readonly Arrival[]): readonly number[] {
  const known = new Set<string>();
  return [...arrivals]
    .sort((left, right) => left.atMs - right.atMs)
    .filter(({ requestId }) => known.size === known.add(requestId).size)
    .map(({ atMs }) => atMs);
}

/**
 * Largest number of repeats in a sliding window, as a multiple of what the rule allows. Requests count in that window, the
 * one before it or the one half a window before it, whichever has most.
 */
export function computeWorstWindow(
  requestsMs: readonly number[],
  repeatsMs: readonly number[],
  { ratio, slack, windowMs }: Rule,
): number {
  const requests = createCounter(requestsMs);
  const repeats = createCounter(repeatsMs);
  const firstMs = repeats.sorted.at(0) ?? 0;
  const lastMs = repeats.sorted.at(-1) ?? 0;
  let worst = 0;
  for (let endMs = firstMs; endMs <= lastMs + STEP_MS; endMs += STEP_MS) {
    const counts = [0, windowMs / 2, windowMs].map((earlierMs) =>
      requests.countWithin(endMs - earlierMs - windowMs, endMs - earlierMs),
    );
    const used = repeats.countWithin(endMs - windowMs, endMs);
    worst = Math.max(worst, used / (ratio * Math.max(...counts) + slack));
  }
  return worst;
}

/** Number of targets that each request reached. */
export function countTargets(arrivals: readonly Arrival[]): readonly number[] {
  const targets = new Map<string, Set<string>>();
  for (const { requestId, target } of arrivals) {
    const reached = targets.get(requestId) ?? new Set();
    targets.set(requestId, reached.add(target));
  }
  return [...targets.values()].map(({ size }) => size);
}

/** Requests that reached more targets than their route allows. */
export function countBeyondTargets(arrivals: readonly Arrival[], maxTargets: number): number {
  return countTargets(arrivals).filter((count) => count > maxTargets).length;
}

/** Sends that allow their target more than half a second longer than their caller waits. */
export function countBeyondTime(
  arrivals: readonly Arrival[],
  sent: readonly SentRequest[],
  limitMs: number,
): number {
  const MAX_EXCESS_MS = 500;
  const sentAtMs = new Map(sent.map(({ id, atMs }) => [id, atMs]));
  return arrivals.filter(({ requestId, atMs, limitMs: allowedMs }) => {
    const endsAtMs = (sentAtMs.get(requestId) ?? Number.POSITIVE_INFINITY) + limitMs;
    return allowedMs === undefined || atMs + allowedMs > endsAtMs + MAX_EXCESS_MS;
  }).length;
}
