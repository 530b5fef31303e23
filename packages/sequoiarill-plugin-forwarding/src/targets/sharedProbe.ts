/** Shares probes of a target among the requests that wait for it. */
import type { Clock } from '@sequoiarill/types';

import * as Incarnations from './targetIncarnation';
import type { TargetProbe, TargetProbeResult } from './targetProbe';

/** An answer of this age still tells that the target is reached. */
const ANSWER_TTL_MS = 100;

/**
 * Load pattern: many requests are late at the same time and look for a target that answers. Each probe opens a connection,
 * so those of one target share it.
 */
export function createSharedProbe(
  clock: Pick<Clock, 'getNowMs'>,
  checkTarget: TargetProbe,
): TargetProbe {
  const pending = new Map<string, Promise<TargetProbeResult>>();
  /** Times of the latest answers by incarnation, monotonic milliseconds. */
  const answeredAtMs = new Map<string, number>();

  function recordAnswer(key: string): void {
    const nowMs = clock.getNowMs();
    for (const [other, atMs] of answeredAtMs) {
      if (nowMs - atMs > ANSWER_TTL_MS) answeredAtMs.delete(other);
    }
    answeredAtMs.set(key, nowMs);
  }

  return async (target) => {
    const key = Incarnations.formatIncarnation(target);
    const answeredMs = answeredAtMs.get(key) ?? Number.NEGATIVE_INFINITY;
    if (clock.getNowMs() - answeredMs <= ANSWER_TTL_MS) return 'answered';
    const running = pending.get(key);
    if (running !== undefined) return running;
    const started = checkTarget(target)
      .then((result) => {
        if (result === 'answered') recordAnswer(key);
        return result;
      })
      .finally(() => pending.delete(key));
    pending.set(key, started);
    return started;
  };
}
