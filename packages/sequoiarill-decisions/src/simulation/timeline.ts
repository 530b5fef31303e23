/** Event queue in virtual time: runs scheduled events in order, without waiting. */
import * as Heap from '../heap';

export interface Timeline {
  readonly getNowMs: () => number;
  readonly addEvent: (atMs: number, action: () => void) => void;
  /** Runs all events up to and including the given time. */
  readonly runUntil: (untilMs: number) => void;
}

interface ScheduledEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly action: () => void;
}

/** Added to the sort key per event: events due at the same time run in the order they were added. */
const SEQUENCE_OFFSET_MS = 1e-9;

export function createTimeline(): Timeline {
  const events = Heap.createHeap<ScheduledEvent>(
    (event) => event.atMs + event.sequence * SEQUENCE_OFFSET_MS,
  );
  let nowMs = 0;
  let lastSequence = 0;

  function addEvent(atMs: number, action: () => void): void {
    lastSequence += 1;
    events.addValue({ atMs: Math.max(nowMs, atMs), sequence: lastSequence, action });
  }

  function runUntil(untilMs: number): void {
    let first = events.getFirst();
    while (first !== undefined && first.atMs <= untilMs) {
      events.takeFirst();
      nowMs = Math.max(nowMs, first.atMs);
      first.action();
      first = events.getFirst();
    }
    nowMs = untilMs;
  }

  return { getNowMs: () => nowMs, addEvent, runUntil };
}
