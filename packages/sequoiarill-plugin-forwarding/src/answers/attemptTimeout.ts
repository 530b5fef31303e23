/** How long an attempt of a plain request may take before another target is preferred. */
import type { ForwardRequest } from '../forwardRequest';
import type { SendProgress } from './nextSend';

/** Timeout of an attempt in multiples of the objective, so that a retry can still succeed in time. */
const ATTEMPT_TIMEOUT_OBJECTIVES = 2.5;
/** Maximum share of the remaining time that one attempt may use while another one can follow. */
const ATTEMPT_TIMEOUT_SHARE = 0.45;

/** Timeout of one attempt: all the remaining time, unless another target can be tried afterwards. */
export function computeAttemptTimeoutMs(
  request: ForwardRequest,
  progress: Pick<SendProgress, 'sends'>,
  nowMs: number,
): number {
  const leftMs = request.expiresAtMs - nowMs;
  const { retryPolicy, maxTargets, objectiveMs } = request.route;
  const isLast = retryPolicy === 'once' || progress.sends + 1 >= maxTargets;
  return isLast
    ? leftMs
    : Math.min(objectiveMs * ATTEMPT_TIMEOUT_OBJECTIVES, leftMs * ATTEMPT_TIMEOUT_SHARE);
}
