/** Decides which changes of targets' rate limits are sent to other routers. */

export interface LimitUpdates {
  /** Whether the limit that a target announces now is to be sent to other routers. */
  readonly recordLimit: (
    incarnation: string,
    perSecond: number | undefined,
    nowMs: number,
  ) => boolean;
  readonly removeOld: (isKnown: (incarnation: string) => boolean) => void;
}

/** Smaller relative changes are not sent; other routers learn them from the target's own answers. */
const MIN_CHANGE_RATIO = 0.2;
/** Minimum pause between two updates about one target. */
const MIN_UPDATE_INTERVAL_MS = 1_000;

interface SentUpdate {
  readonly atMs: number;
  /** Undefined when the target no longer announces a limit. */
  readonly perSecond: number | undefined;
}

function isUpdateDue(
  last: SentUpdate | undefined,
  perSecond: number | undefined,
  nowMs: number,
): boolean {
  if (last === undefined) return perSecond !== undefined;
  if (nowMs - last.atMs < MIN_UPDATE_INTERVAL_MS) return false;
  if (perSecond === undefined || last.perSecond === undefined) return perSecond !== last.perSecond;
  return Math.abs(perSecond - last.perSecond) > last.perSecond * MIN_CHANGE_RATIO;
}

export function createLimitUpdates(): LimitUpdates {
  const sentUpdates = new Map<string, SentUpdate>();
  return {
    recordLimit(incarnation, perSecond, nowMs) {
      if (!isUpdateDue(sentUpdates.get(incarnation), perSecond, nowMs)) return false;
      sentUpdates.set(incarnation, { atMs: nowMs, perSecond });
      return true;
    },
    removeOld(isKnown) {
      for (const key of sentUpdates.keys()) if (!isKnown(key)) sentUpdates.delete(key);
    },
  };
}
