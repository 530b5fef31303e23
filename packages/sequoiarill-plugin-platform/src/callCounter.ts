/** Counts calls against the platform's budget: several hundred writes, two thousand reads a second. */
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

/** The part of the metrics that calls to the platform need. */
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
