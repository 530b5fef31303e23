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
  /** Takes up to so much off the newest counts that are not later than the time; returns how much it was. */
  readonly removeUntil: (endMs: number, count: number) => number;
  /** Takes so much off the oldest counts, so that no later sum is below that of what is left. */
  readonly removeOldest: (nowMs: number, count: number) => void;
}

/** `keptMs`: time for which events are kept. */
export function createSlotCounter(slotMs: number, keptMs: number): SlotCounter {
  /** One slot more than fits into the time, for the oldest one, which is only partly inside. */
  const length = Math.ceil(keptMs / slotMs) + 1;
  const counts = new Array<number>(length).fill(0);
  let newestSlot = Number.NEGATIVE_INFINITY;
  let total = 0;
  /** The latest sum over a window that ends now, until a slot changes. */
  let latestSum: { readonly windowMs: number; readonly sum: number } | undefined;

  const findIndex = (slot: number): number => ((slot % length) + length) % length;

  const getCount = (slot: number): number => counts[findIndex(slot)] ?? 0;

  function addToSlot(slot: number, count: number): void {
    if (count === 0) return;
    counts[findIndex(slot)] = getCount(slot) + count;
    total += count;
    latestSum = undefined;
  }

  /** Times do not run backwards: an earlier one counts as the latest. */
  function update(nowMs: number): void {
    const slot = Math.floor(nowMs / slotMs);
    const first = Math.max(newestSlot + 1, slot - length + 1);
    for (let cleared = first; cleared <= slot; cleared += 1) addToSlot(cleared, -getCount(cleared));
    if (slot > newestSlot) latestSum = undefined;
    newestSlot = Math.max(newestSlot, slot);
  }

  /** Sum over so many slots, the last of which is `last`. */
  function countSlots(last: number, slots: number): number {
    let sum = 0;
    for (let slot = last; slot > last - slots; slot -= 1) sum += getCount(slot);
    return sum;
  }

  return {
    add(nowMs, count) {
      update(nowMs);
      addToSlot(newestSlot, count);
    },
    sum(nowMs, windowMs) {
      update(nowMs);
      if (latestSum?.windowMs === windowMs) return latestSum.sum;
      const sum = countSlots(newestSlot, Math.round(windowMs / slotMs));
      latestSum = { windowMs, sum };
      return sum;
    },
    sumUntil(endMs, windowMs) {
      const last = Math.floor(endMs / slotMs) - 1;
      const first = Math.max(last - Math.round(windowMs / slotMs), newestSlot - length);
      return countSlots(last, Math.max(0, last - first));
    },
    sumAll(nowMs) {
      update(nowMs);
      // Fractions are added and taken off again, and may leave a rest.
      return Math.max(0, total);
    },
    listCounts(nowMs) {
      update(nowMs);
      return counts.map((_count, age) => getCount(newestSlot - age));
    },
    addCounts(added, listedMs) {
      update(listedMs);
      const listedSlot = Math.floor(listedMs / slotMs);
      added.forEach((count, age) => {
        const slot = listedSlot - age;
        if (slot > newestSlot - length) addToSlot(slot, count);
      });
    },
    removeUntil(endMs, count) {
      let left = count;
      const last = Math.min(newestSlot, Math.floor(endMs / slotMs));
      for (let slot = last; slot > newestSlot - length && left > 0; slot -= 1) {
        const removed = Math.min(left, getCount(slot));
        addToSlot(slot, -removed);
        left -= removed;
      }
      return count - left;
    },
    removeOldest(nowMs, count) {
      update(nowMs);
      let left = count;
      for (let slot = newestSlot - length + 1; slot <= newestSlot && left > 0; slot += 1) {
        const removed = Math.min(left, getCount(slot));
        addToSlot(slot, -removed);
        left -= removed;
      }
    },
  };
}
