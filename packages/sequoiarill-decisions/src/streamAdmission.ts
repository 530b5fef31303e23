/**
 * Whether a new stream is sent to the engine that was chosen for it.
 *
 * Load pattern: prompts come faster than engines read them, after a crash of a zone or because there are
 * too few engines. All prompts queue, most first events are late, and each late stream still slows
 * those beside it, until nothing ends on time. So a stream whose first event would be late even at the
 * best of the engines that were asked is refused at once, and those that are taken end in time. Its
 * caller is told to come back when the prompts before it will have been read.
 */

import type { LatencyAdmissionDecision } from './latencyAdmission';

export interface StreamAdmissionQuery {
  /** Prompts that are read before at the best engine that was asked. */
  readonly promptsAhead: number;
  /** Expected wait for the first event at the best engine, milliseconds. */
  readonly firstEventMs: number;
  /** Wait within which a first event is on time, milliseconds. */
  readonly objectiveMs: number;
}

/**
 * Part of the objective; the rest is for prompts that the report did not tell yet, and for those that come
 * beside the stream later.
 */
const EXPECTED_PART = 0.6;
const MS_PER_SECOND = 1_000;

export function decideStreamAdmission(question: StreamAdmissionQuery): LatencyAdmissionDecision {
  const { promptsAhead, firstEventMs, objectiveMs } = question;
  if (promptsAhead === 0) return { kind: 'admit' };
  const excessMs = firstEventMs - objectiveMs * EXPECTED_PART;
  if (excessMs <= 0) return { kind: 'admit' };
  return { kind: 'refuse', retryAfterSeconds: excessMs / MS_PER_SECOND };
}
