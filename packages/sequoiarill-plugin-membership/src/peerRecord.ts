/** The record that routers exchange about each router, and the order of two such records. */
import type { ProcessSettings } from '@sequoiarill/types';

export type RecordState = 'alive' | 'leaving' | 'dead';

export interface PeerRecord extends Omit<ProcessSettings, 'memoryMb' | 'maxDescriptors'> {
  /** `host:port` of the router's listener for other routers. */
  readonly address: string;
  /** Increases with each start of the process and each time it refutes its reported death. */
  readonly incarnation: number;
  readonly state: RecordState;
}

/** Within an incarnation the state only advances in this order; a higher incarnation resets it. */
const STATE_RANKS: Readonly<Record<RecordState, number>> = { alive: 0, leaving: 1, dead: 2 };

/**
 * Returns a positive number if `left` is newer. Timestamps are not compared, because a process that
 * was paused or whose clock jumped could otherwise reintroduce old records. The address only breaks
 * ties, so that all routers choose the same record.
 */
export function compareRecords(left: PeerRecord, right: PeerRecord): number {
  if (left.incarnation !== right.incarnation) return left.incarnation - right.incarnation;
  const rank = STATE_RANKS[left.state] - STATE_RANKS[right.state];
  if (rank !== 0) return rank;
  if (left.address === right.address) return 0;
  return left.address > right.address ? 1 : -1;
}

export function compareNames(
  left: { readonly name: string },
  right: { readonly name: string },
): number {
  if (left.name === right.name) return 0;
  return left.name < right.name ? -1 : 1;
}
