/** Counts events in slots of equal length, for sums over windows that slide. */

export interface SlotCounter {
  readonly add: (nowMs: number, count: number) => void;
  /** Sum over a window that ends now, without the oldest slot, which is only partly inside. */
  readonly sum: (nowMs: number, windowMs: number) => number;
  /** Sum over all that is kept, which includes the whole oldest slot. */
  readonly sumAll: (nowMs: number) => number;
  /** Sum over a window that has ended, as far as it is kept. */
  readonly sumUntil: (endMs: number, windowMs: number) => number;
  /** Counts of all slots, the newest first. */
  readonly listCounts: (nowMs: number) => readonly number[];
  /** Adds the counts that another counter listed at an earlier time. */
  readonly addCounts: (counts: readonly number[], listedMs: number) => void;
  /** Takes so much off the oldest counts, so that no later sum is below that of what is left. */
  readonly removeOldest: (nowMs: number, count: number) => void;
}

/** `keptMs`: time for which events are kept. */
export function createSlotCounter(slotMs: number, keptMs: number): SlotCounter {
  /** One slot more than fits into the time, for the oldest one, which is only partly inside. */
  const length = Math.ceil(keptMs / slotMs) + 1;
  const counts = new Array<number>(length).fill(0);
  let newestSlot = Number.NEGATIVE_INFINITY;

  const findIndex = (slot: number): number => ((slot % length) + length) % length;

  /** Times do not run backwards: an earlier one counts as the latest. */
  function update(nowMs: number): void {
    const slot = Math.floor(nowMs / slotMs);
    const first = Math.max(newestSlot + 1, slot - length + 1);
    for (let cleared = first; cleared <= slot; cleared += 1) counts[findIndex(cleared)] = 0;
    newestSlot = Math.max(newestSlot, slot);
  }

  /** Sum over so many slots, the last of which is `last`. */
  function countSlots(last: number, slots: number): number {
    let sum = 0;
    for (let slot = last; slot > last - slots; slot -= 1) sum += counts[findIndex(slot)] ?? 0;
    return sum;
  }

  return {
    add(nowMs, count) {
      update(nowMs);
      const index = findIndex(newestSlot);
      counts[index] = (counts[index] ?? 0) + count;
    },
    sum(nowMs, windowMs) {
      update(nowMs);
      return countSlots(newestSlot, Math.round(windowMs / slotMs));
    },
    sumUntil(endMs, windowMs) {
      const last = Math.floor(endMs / slotMs) - 1;
      const first = Math.max(last - Math.round(windowMs / slotMs), newestSlot - length);
      return countSlots(last, Math.max(0, last - first));
    },
    sumAll(nowMs) {
      update(nowMs);
      return counts.reduce((sum, count) => sum + count, 0);
    },
    listCounts(nowMs) {
      update(nowMs);
      return counts.map((_count, age) => counts[findIndex(newestSlot - age)] ?? 0);
    },
    addCounts(added, listedMs) {
      update(listedMs);
      const listedSlot = Math.floor(listedMs / slotMs);
      added.forEach((count, age) => {
        const slot = listedSlot - age;
        const index = findIndex(slot);
        if (slot > newestSlot - length) counts[index] = (counts[index] ?? 0) + count;
      });
    },
    removeOldest(nowMs, count) {
      update(nowMs);
      let left = count;
      for (let slot = newestSlot - length + 1; slot <= newestSlot && left > 0; slot += 1) {
        const index = findIndex(slot);
        const removed = Math.min(left, counts[index] ?? 0);
        counts[index] = (counts[index] ?? 0) - removed;
        left -= removed;
      }
    },
  };
}
