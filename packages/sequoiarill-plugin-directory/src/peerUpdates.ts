/**
 * Receives updates from other routers while the store confirms nothing to this one.
 *
 * Failure: the store rejects some routers, does not answer them, or a router is cut off from it, while
 * operators continue to change the configuration elsewhere; the router would keep using outdated routes and
 * keys. During that time it queries other routers, which may reach the store.
 */
import * as Kernel from '@sequoiarill/kernel';
import type { Clock, LogEvent } from '@sequoiarill/types';

import * as DelayedRemovals from './delayedRemovals';
import type { DirectoryState } from './directoryState';
import * as Events from './events';
import type { PeerClient } from './peerClient';
import type { RecordsOutcome } from './peerMessages';
import type { DirectoryRecord } from './recordCache';
import type { StoreFollower } from './storeFollower';

export interface PeerUpdatesOptions {
  readonly state: DirectoryState;
  readonly client: Pick<PeerClient, 'readRecords'>;
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly nextRandom: () => number;
  /** `IP:port` of the other routers that are known. */
  readonly listPeers: () => readonly string[];
  readonly follower: Pick<
    StoreFollower,
    'getSeenRevision' | 'getAgeMs' | 'getLostSinceMs' | 'recordConfirmed'
  >;
}

type PeerRecords = Extract<RecordsOutcome, { kind: 'records' }>;

const { getEra, getNumber } = Kernel.Revisions;
/** Time for which the store is known not to respond before peers are queried. */
const PEER_QUERY_DELAY_MS = 400;
/**
 * Age of the confirmation at which peers are queried although no call has failed. The store has been queried
 * again by then, and two rounds fit into the rest of the two seconds within which a change must be in force.
 */
const PEER_QUERY_AGE_MS = 1_200;
const CHECK_INTERVAL_MS = 200;
const QUERY_INTERVAL_MS = 500;
/** More than one, because a peer may be cut off from the store as well. */
const PEERS_PER_ROUND = 2;

export function createPeerUpdates(options: PeerUpdatesOptions) {
  const { state, client, clock, logEvent, follower } = options;
  /** Peers have reported all changes up to this revision. */
  let reportedRevision = 0;

  function samplePeers(): readonly string[] {
    const remaining = [...options.listPeers()];
    const sampled: string[] = [];
    while (sampled.length < PEERS_PER_ROUND && remaining.length > 0) {
      sampled.push(...remaining.splice(Math.floor(options.nextRandom() * remaining.length), 1));
    }
    return sampled;
  }

  function isLost(): boolean {
    const lostSinceMs = follower.getLostSinceMs();
    return lostSinceMs !== undefined && clock.getNowMs() - lostSinceMs >= PEER_QUERY_DELAY_MS;
  }

  function isOverdue(): boolean {
    const ageMs = follower.getAgeMs();
    return Number.isFinite(ageMs) && ageMs >= PEER_QUERY_AGE_MS;
  }

  /**
   * Failure: a zone is cut off and the entries of its targets lapse. When the connection returns,
   * its routers learn of that from peers before the targets have written their entries again. For a
   * second they would refuse all requests although the targets run. So removals reported by peers
   * are delayed for that time.
   */
  function applyUpdates(records: readonly DirectoryRecord[]): void {
    if (isLost()) state.delayRemovalsUntil(clock.getNowMs() + DelayedRemovals.REREGISTRATION_MS);
    state.applyRecords(records);
  }

  /** What a peer knows completely, and as of when, is known here as well. */
  function recordReported(reported: PeerRecords, sentAtMs: number): void {
    reportedRevision = Math.max(reportedRevision, reported.seenRevision);
    const isSameEra = getEra(reported.seenRevision) === state.getEra();
    if (isSameEra && !reported.isTruncated) follower.recordConfirmed(sentAtMs - reported.ageMs);
  }

  async function callPeer(peer: string): Promise<void> {
    const before = state.getRevision();
    const sentAtMs = clock.getNowMs();
    // Single records that this router has written or was told may be newer than what it knows completely.
    const known = Math.max(follower.getSeenRevision(), reportedRevision);
    const afterRevision = Math.min(before, known);
    const outcome = await client.readRecords(peer, { afterRevision });
    if (outcome.kind === 'failed') return;
    if (outcome.records.length > 0) applyUpdates(outcome.records);
    recordReported(outcome, sentAtMs);
    const after = state.getRevision();
    if (after === before) return;
    logEvent(Events.LEARNED_FROM_PEER, {
      peer,
      records: outcome.records.length,
      before: getNumber(before),
      after: getNumber(after),
      era: getEra(after),
    });
  }

  /** A peer that does not respond must not delay the next round. */
  async function runRound(signal: AbortSignal): Promise<void> {
    const roundEnd = clock.waitMs(QUERY_INTERVAL_MS, signal);
    await Promise.race([Promise.all(samplePeers().map(callPeer)), roundEnd]);
    await roundEnd;
  }

  return {
    async run(signal: AbortSignal): Promise<void> {
      while (!signal.aborted) {
        await clock.waitMs(CHECK_INTERVAL_MS, signal);
        if (!signal.aborted && (isLost() || isOverdue())) await runRound(signal);
      }
    },
  };
}
