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
/** Time by which a target may work on a request for longer than its caller waits. */
const MAX_EXCESS_MS = 500;

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

/** Largest number of arrivals of one request, with those that were rejected. */
export function countMostArrivals(arrivals: readonly Arrival[]): number {
  const counts = new Map<string, number>();
  for (const { requestId } of arrivals) counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  return Math.max(0, ...counts.values());
}

export interface LateLimits {
  /** Arrivals of requests later than half a second after their first ones. */
  readonly late: number;
  /** Of these, the ones whose time ends more than half a second after that of the first one, and after their caller's. */
  readonly tooLong: number;
}

/** Compares the time that late repeats allow their targets with the time of the first arrival and of the caller. */
export function countLateLimits(
  arrivals: readonly Arrival[],
  sent: readonly SentRequest[],
  limitMs: number,
): LateLimits {
  const latestMs = new Map(sent.map(({ id, atMs }) => [id, atMs + limitMs]));
  const firsts = new Map<string, Arrival>();
  let late = 0;
  let tooLong = 0;
  for (const arrival of [...arrivals].sort((left, right) => left.atMs - right.atMs)) {
    const { requestId, atMs } = arrival;
    const first = firsts.get(requestId);
    if (first === undefined) firsts.set(requestId, arrival);
    else if (atMs > first.atMs + MAX_EXCESS_MS) {
      const endMs = (one: Arrival): number => one.atMs + (one.limitMs ?? Number.POSITIVE_INFINITY);
      const allowedMs = Math.max(endMs(first), latestMs.get(requestId) ?? 0) + MAX_EXCESS_MS;
      late += 1;
      if (endMs(arrival) > allowedMs) tooLong += 1;
    }
  }
  return { late, tooLong };
}

/** Sends that allow their target more than half a second longer than their caller waits. */
export function countBeyondTime(
  arrivals: readonly Arrival[],
  sent: readonly SentRequest[],
  limitMs: number,
): number {
  const sentAtMs = new Map(sent.map(({ id, atMs }) => [id, atMs]));
  return arrivals.filter(({ requestId, atMs, limitMs: allowedMs }) => {
    const endsAtMs = (sentAtMs.get(requestId) ?? Number.POSITIVE_INFINITY) + limitMs;
    return allowedMs === undefined || atMs + allowedMs > endsAtMs + MAX_EXCESS_MS;
  }).length;
}

/** What one router has counted in its window. */
export interface Count {
  readonly router: number;
  readonly atMs: number;
  readonly repeats: number;
}

/** Largest sum over all routers of what they have counted last, each within a window. */
export function computeMostCounted(counts: readonly Count[], windowMs: number): number {
  const latest = new Map<number, Count>();
  let most = 0;
  for (const count of [...counts].sort((left, right) => left.atMs - right.atMs)) {
    latest.set(count.router, count);
    const current = [...latest.values()].filter(({ atMs }) => atMs > count.atMs - windowMs);
    most = Math.max(
      most,
      current.reduce((sum, { repeats }) => sum + repeats, 0),
    );
  }
  return most;
}

/** Largest number of repeats in a sliding window. */
export function computeMostRepeats(repeatsMs: readonly number[], windowMs: number): number {
  const repeats = createCounter(repeatsMs);
  return Math.max(0, ...repeats.sorted.map((atMs) => repeats.countWithin(atMs - windowMs, atMs)));
}
