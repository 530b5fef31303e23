/**
 * Decides what a request does while all targets that could run it have asked for rest.
 *
 * Load pattern: the targets of a service are full and refuse requests for some seconds. A request that is
 * held for longer than its answer may take is late at best, and holding it keeps its caller from going
 * elsewhere. So a request waits out a short rest and is refused at once before a longer one.
 */

export interface RestWaitQuery {
  /** Time until the first of the targets takes requests again, milliseconds. */
  readonly restMs: number;
  /** Time for which the request, or the gap in its stream, has lasted, milliseconds. */
  readonly waitedMs: number;
  /** Time within which the answer, or the next event, is on time, milliseconds. */
  readonly objectiveMs: number;
  /** Time until the deadline of the request, milliseconds. */
  readonly leftMs: number;
}

export type RestWaitDecision =
  { readonly kind: 'refuse' } | { readonly kind: 'wait'; readonly waitMs: number };

/** Share of the objective that may pass before the request is sent; the rest is for its answer. */
const MAX_WAIT_SHARE = 0.5;
/**
 * Requests that wait for the same target are sent within this time of each other, those with the earliest
 * deadline first, so that a target that refuses again gets few of them.
 */
const MAX_STAGGER_MS = 100;

export function decideRestWait(query: RestWaitQuery): RestWaitDecision {
  const { restMs, waitedMs, objectiveMs, leftMs } = query;
  const maxWaitMs = Math.min(objectiveMs * MAX_WAIT_SHARE - waitedMs, leftMs);
  if (restMs >= maxWaitMs) return { kind: 'refuse' };
  const staggerMs = MAX_STAGGER_MS * Math.min(1, (leftMs - restMs) / objectiveMs);
  return { kind: 'wait', waitMs: Math.min(restMs + staggerMs, maxWaitMs) };
}
