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
  readonly getCounts: () => CallCounts;
}

const METRIC_NAMES: Readonly<Record<CallKind, string>> = {
  read: 'platform.reads',
  write: 'platform.writes',
  watch: 'platform.watches',
};

export function createCallCounter(metrics: Pick<Metrics, 'addCount'>): CallCounter {
  const counts = { read: 0, write: 0, watch: 0 };
  return {
    addCall(kind) {
      counts[kind] += 1;
      metrics.addCount(METRIC_NAMES[kind]);
    },
    getCounts: () => ({ ...counts }),
  };
}
