/** Remembers which incarnations of targets have said that they are about to stop. */
import type { ForwardingTarget } from '@sequoiarill/types';

export type Incarnation = Pick<ForwardingTarget, 'id' | 'startedAtUnixMs'>;

export interface LeavingTargets {
  readonly record: (target: Incarnation) => void;
  readonly isLeaving: (target: Incarnation) => boolean;
}

/** The oldest ones are dropped first; a target that leaves stops within seconds or minutes. */
const MAX_LEAVING = 4_000;

/**
 * Failure: a target says that it leaves, and an older entry that still says ready is applied after that, from a
 * store that was restored from a copy or from a router that was cut off. So the announcement holds for the
 * incarnation, and does not end with its entry.
 */
export function createLeavingTargets(): LeavingTargets {
  const startTimes = new Map<string, number>();
  return {
    record({ id, startedAtUnixMs }) {
      startTimes.delete(id);
      startTimes.set(id, startedAtUnixMs);
      const [oldest] = startTimes.keys();
      if (startTimes.size > MAX_LEAVING && oldest !== undefined) startTimes.delete(oldest);
    },
    isLeaving: ({ id, startedAtUnixMs }) => startTimes.get(id) === startedAtUnixMs,
  };
}
