/**
 * Admission control for streams: decides whether a new stream is sent to the engine chosen for it.
 *
 * Load pattern: prompts arrive faster than the engines prefill them, after the crash of a zone or because
 * there are too few engines. All prompts queue, most first events are late, and each late stream still
 * slows the others on its engine, until no stream ends on time. So a stream whose first event would be late
 * even at the best of the queried engines is refused at once, and admitted streams end on time. The
 * caller is asked to retry when the prompts ahead will have been prefilled.
 */

import type { LatencyAdmissionDecision } from './latencyAdmission';

export interface StreamAdmissionQuery {
  /** Prompts that are prefilled first at the best of the queried engines. */
  readonly promptsAhead: number;
  /** Expected time to the first event at that engine, milliseconds. */
  readonly firstEventMs: number;
  /** Time within which a first event is on time, milliseconds. */
  readonly objectiveMs: number;
}

/**
 * Share of the objective up to which streams are admitted; the rest is for prompts missing from the last
 * report and for those that arrive at the engine later.
 */
export const MAX_OBJECTIVE_SHARE = 0.6;
const MS_PER_SECOND = 1_000;

export function decideStreamAdmission(query: StreamAdmissionQuery): LatencyAdmissionDecision {
  const { promptsAhead, firstEventMs, objectiveMs } = query;
  if (promptsAhead === 0) return { kind: 'admit' };
  const excessMs = firstEventMs - objectiveMs * MAX_OBJECTIVE_SHARE;
  if (excessMs <= 0) return { kind: 'admit' };
  return { kind: 'refuse', retryAfterSeconds: excessMs / MS_PER_SECOND };
}
