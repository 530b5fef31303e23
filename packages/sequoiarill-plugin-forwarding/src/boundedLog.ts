/** Logs at most so many events of a kind a second, and says how many were left out. */
import type { EventDefinition, LogEvent } from '@sequoiarill/types';

import * as Events from './events';

export interface BoundedLog {
  readonly logEvent: LogEvent;
  /** Tells what was left out since the last line of each kind. */
  readonly close: () => void;
}

/** Enough to follow single failures; under a storm the first of each second stand for the rest. */
const EVENTS_PER_SECOND = 20;
const MS_PER_SECOND = 1_000;

interface Window {
  startedMs: number;
  logged: number;
  leftOut: number;
}

export function createBoundedLog(logEvent: LogEvent, getNowMs: () => number): BoundedLog {
  const windows = new Map<EventDefinition, Window>();

  function reportLeftOut(definition: EventDefinition, window: Window): void {
    if (window.leftOut === 0) return;
    logEvent(Events.LINES_LEFT_OUT, { kind: definition.name, count: window.leftOut });
  }

  return {
    logEvent(definition, fields) {
      const nowMs = getNowMs();
      let window = windows.get(definition);
      if (window === undefined || nowMs - window.startedMs >= MS_PER_SECOND) {
        if (window !== undefined) reportLeftOut(definition, window);
        window = { startedMs: nowMs, logged: 0, leftOut: 0 };
        windows.set(definition, window);
      }
      if (window.logged >= EVENTS_PER_SECOND) {
        window.leftOut += 1;
        return;
      }
      window.logged += 1;
      logEvent(definition, fields);
    },
    close() {
      windows.forEach((window, definition) => reportLeftOut(definition, window));
      windows.clear();
    },
  };
}
