/** Observes this process: its event loop, its collections, and what it does meanwhile. */
import type { LogEvent, Metrics } from '@sequoiarill/types';

import * as Collections from './collections';
import * as EventLoops from './eventLoop';
import * as RunningTimes from './runningTime';
import * as WorkCounts from './workCounts';

export interface ProcessMonitor {
  /** Counts what is passed to it as work of the process. */
  readonly metrics: Metrics;
  /** Must be called by a timer every `RunningTimes.RUNNING_TIME_TICK_MS`. */
  readonly recordTick: () => void;
  readonly stop: () => void;
}

export function createProcessMonitor(logEvent: LogEvent, sender: Metrics): ProcessMonitor {
  const { metrics, takeWork } = WorkCounts.createWorkCounts(sender);
  const collections = Collections.createCollectionRecord();
  const stop = Collections.watchCollections(collections);
  const loopMonitor = EventLoops.createLoopMonitor({
    readLoop: EventLoops.readEventLoop,
    logEvent,
    metrics: sender,
    collections,
    computeHeapShare: Collections.computeHeapShare,
    takeWork,
  });
  return {
    metrics,
    recordTick: () => loopMonitor.recordTick(RunningTimes.RUNNING_TIME_TICK_MS),
    stop,
  };
}
