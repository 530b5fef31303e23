/** Counts the retries of one router for as long as they may arrive in one window with later ones. */
import * as HeldRetries from './heldRetries';
import * as SlotCounters from './slotCounter';
import type { SlotCounter } from './slotCounter';

export interface CountedRetries extends Pick<
  SlotCounter,
  'add' | 'addCounts' | 'listCounts' | 'removeOldest'
> {
  /** Retries of the last window, without those that count for longer. */
  readonly count: (nowMs: number) => number;
  /** Retries that count although a window has passed since they were taken. */
  readonly countHeld: (nowMs: number) => number;
  /** A retry is sent; the returned function is called when its target has answered it, or its send has ended. */
  readonly recordSend: (sentMs: number) => (endMs: number) => void;
  /** Holds one of them until the target is heard. */
  readonly hold: (nowMs: number, target: string) => void;
  /** Those held for the target have arrived by now. */
  readonly settle: (nowMs: number, target: string) => void;
}

/** `countedMs`: how long a retry counts from its arrival on. */
export function createCountedRetries(slotMs: number, countedMs: number): CountedRetries {
  const slots = SlotCounters.createSlotCounter(slotMs, countedMs);
  const held = HeldRetries.createHeldRetries();
  /** Sends without an answer, the oldest first. */
  const unanswered = new Set<{ readonly sentMs: number }>();

  const isCounted = (sentMs: number, nowMs: number): boolean => sentMs > nowMs - countedMs;

  function countOverdue(nowMs: number): number {
    let count = 0;
    for (const { sentMs } of unanswered) {
      if (isCounted(sentMs, nowMs)) return count;
      count += 1;
    }
    return count;
  }

  return {
    add: slots.add,
    addCounts: slots.addCounts,
    listCounts: slots.listCounts,
    removeOldest: slots.removeOldest,
    count: slots.sumAll,
    countHeld(nowMs) {
      const heldCount = held.count(nowMs, (count, untilMs) => slots.addCounts([count], untilMs));
      return heldCount + countOverdue(nowMs);
    },
    recordSend(sentMs) {
      const send = { sentMs };
      unanswered.add(send);
      return (endMs) => {
        if (!unanswered.delete(send)) return;
        slots.add(endMs, isCounted(sentMs, endMs) ? slots.removeUntil(sentMs, 1) : 1);
      };
    },
    hold(nowMs, target) {
      slots.removeOldest(nowMs, 1);
      held.add(target, nowMs);
    },
    settle(nowMs, target) {
      slots.add(nowMs, held.remove(target));
    },
  };
}
