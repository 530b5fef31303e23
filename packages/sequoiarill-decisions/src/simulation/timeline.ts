/** Virtual time: what happens, in order, without waiting. */
import * as Heap from '../heap';

export interface Timeline {
  readonly getNowMs: () => number;
  readonly addEvent: (atMs: number, action: () => void) => void;
  /** Plays everything up to and including the time. */
  readonly playUntil: (untilMs: number) => void;
}

interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}

/** Events of one moment keep their order: a millisecond is divided by this many of them. */
const ORDER_SCALE = 1e-9;

export function createTimeline(): Timeline {
  const events = Heap.createHeap<Event>((event) => event.atMs + event.order * ORDER_SCALE);
  let nowMs = 0;
  let order = 0;

  function addEvent(atMs: number, action: () => void): void {
    order += 1;
    events.addValue({ atMs: Math.max(nowMs, atMs), order, action });
  }

  function playUntil(untilMs: number): void {
    let first = events.getFirst();
    while (first !== undefined && first.atMs <= untilMs) {
      events.takeFirst();
      nowMs = Math.max(nowMs, first.atMs);
      first.action();
      first = events.getFirst();
    }
    nowMs = untilMs;
  }

  return { getNowMs: () => nowMs, addEvent, playUntil };
}
