/** The machine's clocks behind the interface that tests replace. */
import { setTimeout as startTimeout } from 'node:timers/promises';

import type { Clock } from '@sequoiarill/types';

export function createSystemClock(): Clock {
  return {
    getNowMs: () => performance.now(),
    getWallTime: () => new Date().toISOString(),
    async waitMs(ms, signal) {
      if (signal === undefined) await startTimeout(ms);
      else await startTimeout(ms, undefined, { signal }).catch(() => undefined);
    },
  };
}
