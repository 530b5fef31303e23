/**
 * Delays the removal of targets whose entries lapsed around a store outage. Until then, these
 * targets are unconfirmed.
 */
import type { TargetRegistry } from './targetRegistry';

/**
 * About this long after the store responds again, running targets have written their entries again.
 */
export const REREGISTRATION_MS = 2_300;

export interface DelayedRemovals {
  /** Removes a target, immediately or after the delay. */
  readonly removeTarget: (key: string) => void;
  /** Cancels a delayed removal, because the entry was written again or replaced. */
  readonly cancelRemoval: (key: string) => void;
  /** Delays removals until this time, in monotonic milliseconds, and adds removals of `keys`. */
  readonly delayUntil: (untilMs: number, keys: Iterable<string>) => void;
  /** Whether removals are delayed now. */
  readonly isDelaying: () => boolean;
  /** Carries out removals whose delay has passed and returns the keys of the removed targets. */
  readonly takeDue: () => readonly string[];
}

export function createDelayedRemovals(
  targets: TargetRegistry,
  getNowMs: () => number,
): DelayedRemovals {
  let delayedUntilMs = 0;
  const delayedKeys = new Set<string>();

  function delayRemoval(key: string): void {
    const target = targets.find(key);
    if (target === undefined) return;
    delayedKeys.add(key);
    targets.set(key, { ...target, state: 'unconfirmed' });
  }

  return {
    /**
     * Failure: entries lapse during a store outage although their targets are running, and the
     * store reports these removals when it responds again. Without the delay, a whole service would
     * appear to be removed for about two seconds, until its targets have written their entries
     * again. The targets are kept as unconfirmed, because some may have terminated: the component
     * that selects a target decides whether an unconfirmed one may be used.
     */
    removeTarget(key) {
      if (getNowMs() < delayedUntilMs) delayRemoval(key);
      else targets.remove(key);
    },
    cancelRemoval: (key) => delayedKeys.delete(key),
    delayUntil(untilMs, keys) {
      delayedUntilMs = Math.max(delayedUntilMs, untilMs);
      [...keys].forEach(delayRemoval);
    },
    isDelaying: () => getNowMs() < delayedUntilMs,
    takeDue() {
      if (delayedKeys.size === 0 || getNowMs() < delayedUntilMs) return [];
      const dueKeys = [...delayedKeys];
      delayedKeys.clear();
      dueKeys.forEach(targets.remove);
      return dueKeys;
    },
  };
}
