/**
 * Counts calls to the platform, whose budget is several hundred writes and 2,000 reads per second.
 */
import type { Metrics } from '@sequoiarill/types';

export type CallKind = 'read' | 'write' | 'watch';

export interface CallCounts {
  readonly read: number;
  readonly write: number;
  readonly watch: number;
}

export interface CallCounter {
  readonly addCall: (kind: CallKind) => void;
  readonly recordTiming: (kind: CallKind, outcome: string, elapsedMs: number) => void;
  readonly getCounts: () => CallCounts;
}

const METRIC_NAMES: Readonly<Record<CallKind, string>> = {
  read: 'platform.reads',
  write: 'platform.writes',
  watch: 'platform.watches',
};

export type CallMetrics = Pick<Metrics, 'addCount' | 'recordTiming'>;

export function createCallCounter(metrics: CallMetrics): CallCounter {
  const counts = { read: 0, write: 0, watch: 0 };
  return {
    addCall(kind) {
      counts[kind] += 1;
      metrics.addCount(METRIC_NAMES[kind]);
    },
    recordTiming: (kind, outcome, elapsedMs) =>
      metrics.recordTiming('platform.call_ms', elapsedMs, { kind, outcome }),
    getCounts: () => ({ ...counts }),
  };
}
