/** Which changes of targets' limits are worth telling other routers. */

export interface LimitNews {
  /** Whether what a target names now is to be passed on. */
  readonly recordLimit: (life: string, perSecond: number | undefined, nowMs: number) => boolean;
  readonly removeOld: (isKnown: (life: string) => boolean) => void;
}

/** A change by a smaller part is left to the answers that name it. */
const NEWS_PART = 0.2;
/** Pause between two news of one target, milliseconds. */
const NEWS_INTERVAL_MS = 1_000;

interface PassedOn {
  readonly atMs: number;
  /** Undefined: none any more. */
  readonly perSecond: number | undefined;
}

function isNews(last: PassedOn | undefined, perSecond: number | undefined, nowMs: number): boolean {
  if (last === undefined) return perSecond !== undefined;
  if (nowMs - last.atMs < NEWS_INTERVAL_MS) return false;
  if (perSecond === undefined || last.perSecond === undefined) return perSecond !== last.perSecond;
  return Math.abs(perSecond - last.perSecond) > last.perSecond * NEWS_PART;
}

export function createLimitNews(): LimitNews {
  const passedOn = new Map<string, PassedOn>();
  return {
    recordLimit(life, perSecond, nowMs) {
      if (!isNews(passedOn.get(life), perSecond, nowMs)) return false;
      passedOn.set(life, { atMs: nowMs, perSecond });
      return true;
    },
    removeOld(isKnown) {
      for (const life of passedOn.keys()) if (!isKnown(life)) passedOn.delete(life);
    },
  };
}
