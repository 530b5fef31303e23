/** Limits the log lines per second of each kind of event and logs how many were dropped. */
import type { EventDefinition, LogEvent } from '@sequoiarill/types';

import * as Events from './events';

export interface RateLimitedLog {
  readonly logEvent: LogEvent;
  /** Logs the number of lines dropped and not yet reported, for each kind of event. */
  readonly close: () => void;
}

/** Enough to follow single failures; in a burst of failures the first lines of each second represent the rest. */
const MAX_EVENTS_PER_SECOND = 20;
const MS_PER_SECOND = 1_000;

interface LogWindow {
  startedMs: number;
  logged: number;
  dropped: number;
}

export function createRateLimitedLog(logEvent: LogEvent, getNowMs: () => number): RateLimitedLog {
  const windows = new Map<EventDefinition, LogWindow>();

  function logDroppedCount(definition: EventDefinition, window: LogWindow): void {
    if (window.dropped === 0) return;
    logEvent(Events.LINES_LEFT_OUT, { kind: definition.name, count: window.dropped });
  }

  return {
    logEvent(definition, fields) {
      const nowMs = getNowMs();
      let window = windows.get(definition);
      if (window === undefined || nowMs - window.startedMs >= MS_PER_SECOND) {
        if (window !== undefined) logDroppedCount(definition, window);
        window = { startedMs: nowMs, logged: 0, dropped: 0 };
        windows.set(definition, window);
      }
      if (window.logged >= MAX_EVENTS_PER_SECOND) {
        window.dropped += 1;
        return;
      }
      window.logged += 1;
      logEvent(definition, fields);
    },
    close() {
      windows.forEach((window, definition) => logDroppedCount(definition, window));
      windows.clear();
    },
  };
}
