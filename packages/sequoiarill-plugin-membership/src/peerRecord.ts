/** What routers tell each other about a router, and which of two such records is the newer. */
import type { ProcessSettings } from '@sequoiarill/types';

export type RecordState = 'alive' | 'leaving' | 'dead';

export interface PeerRecord extends ProcessSettings {
  /** `host:port` of its peer listener. */
  readonly address: string;
  /** Rises with each start of the process and with each refutation of its death. */
  readonly incarnation: number;
  readonly state: RecordState;
}

/** Within one incarnation a state only moves this way; a higher incarnation starts over. */
const STATE_RANKS: Readonly<Record<RecordState, number>> = { alive: 0, leaving: 1, dead: 2 };

/**
 * Positive when `left` is newer. No time takes part: a paused process or one whose clock jumped
 * would otherwise bring back old records. The address only breaks ties, so that all agree.
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
