/** Logs refused messages, at most one a minute for each sender. */
import type { LogEvent } from '@sequoiarill/types';

import * as Events from './events';

export interface RefusalLog {
  readonly recordRefusal: (sender: string, reason: string) => void;
}

const INTERVAL_MS = 60_000;
/** Names of forged senders are not bounded; beyond this number the others share one line a minute. */
const MAX_SENDERS = 100;
const OTHER_SENDERS = 'others';

export function createRefusalLog(logEvent: LogEvent, getNowMs: () => number): RefusalLog {
  const loggedMs = new Map<string, number>();

  function chooseKey(sender: string): string {
    const isListed = loggedMs.has(sender) || loggedMs.size < MAX_SENDERS;
    return isListed ? sender : OTHER_SENDERS;
  }

  return {
    recordRefusal(sender, reason) {
      const nowMs = getNowMs();
      for (const [key, atMs] of loggedMs) {
        if (nowMs - atMs >= INTERVAL_MS) loggedMs.delete(key);
      }
      const key = chooseKey(sender);
      if (loggedMs.has(key)) return;
      loggedMs.set(key, nowMs);
      logEvent(Events.MESSAGE_REFUSED, { sender, reason });
    },
  };
}
