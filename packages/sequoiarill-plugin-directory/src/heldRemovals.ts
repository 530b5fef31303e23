/** Targets whose entries went around an outage: they stay known as unconfirmed for a while. */
import type { TargetTable } from './targetTable';

export interface HeldRemovals {
  /** Removes a target, at once or when the time is up. */
  readonly removeTarget: (key: string) => void;
  /** The entry is back, or was replaced: nothing is to be removed any more. */
  readonly releaseTarget: (key: string) => void;
  /** Removals before this moment wait for it; those of `keys` are added. Monotonic milliseconds. */
  readonly holdUntil: (untilMs: number, keys: Iterable<string>) => void;
  /** Carries out removals that waited long enough; the keys of what was removed. */
  readonly takeDue: () => readonly string[];
}

export function createHeldRemovals(targets: TargetTable, getNowMs: () => number): HeldRemovals {
  let heldUntilMs = 0;
  const held = new Set<string>();

  function delayRemoval(key: string): void {
    const target = targets.find(key);
    if (target === undefined) return;
    held.add(key);
    targets.set(key, { ...target, state: 'unconfirmed' });
  }

  return {
    /**
     * Failure: entries lapse while the store is away, although their targets live, and the store says
     * so when it is back. Without the delay a whole service would seem gone for about two seconds,
     * until its targets have written their entries again. They stay known as unconfirmed, since some
     * may have left for good: who chooses a target decides whether such a one may be used.
     */
    removeTarget(key) {
      if (getNowMs() < heldUntilMs) delayRemoval(key);
      else targets.remove(key);
    },
    releaseTarget: (key) => held.delete(key),
    holdUntil(untilMs, keys) {
      heldUntilMs = Math.max(heldUntilMs, untilMs);
      [...keys].forEach(delayRemoval);
    },
    takeDue() {
      if (held.size === 0 || getNowMs() < heldUntilMs) return [];
      const due = [...held];
      held.clear();
      due.forEach(targets.remove);
      return due;
    },
  };
}
