/**
 * Learns from other routers what the store does not tell this one.
 *
 * Failure: the store turns some routers away, or a router is cut off from it, while operators go on
 * changing the configuration elsewhere; the router would go on by old routes and keys. Others that
 * reach the store are asked as long as that lasts.
 */
import type { Clock, LogEvent } from '@sequoiarill/types';

import type { DirectoryState } from './directoryState';
import * as Events from './events';
import type { PeerClient } from './peerClient';
import type { DirectoryRecord } from './recordLog';
import * as StoreFollowers from './storeFollower';

export interface PeerNewsOptions {
  readonly state: DirectoryState;
  readonly client: Pick<PeerClient, 'readRecords'>;
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly nextRandom: () => number;
  /** `IP:port` of other routers, as far as they are known. */
  readonly listPeers: () => readonly string[];
  /** Everything up to it was seen. */
  readonly getSeenRevision: () => number;
  /** Since when the store has not answered; undefined while it does. */
  readonly getLostSinceMs: () => number | undefined;
}

/** The store is given this long before peers are asked, milliseconds. */
const PATIENCE_MS = 400;
const INTERVAL_MS = 500;
/** Asked in one round: one of them may be cut off from the store as well. */
const PEERS_PER_ROUND = 2;

export function createPeerNews(options: PeerNewsOptions) {
  const { state, client, clock, logEvent } = options;
  /** Peers have told everything up to it. */
  let toldRevision = 0;

  function samplePeers(): readonly string[] {
    const left = [...options.listPeers()];
    const drawn: string[] = [];
    while (drawn.length < PEERS_PER_ROUND && left.length > 0) {
      drawn.push(...left.splice(Math.floor(options.nextRandom() * left.length), 1));
    }
    return drawn;
  }

  /**
   * Failure: a zone is cut off, the entries of its targets lapse, and at the end of the cut its routers
   * hear of that from others before the targets have written their entries again: for a second they
   * refuse everything, beside targets that live. So what peers tell as gone is kept for that time.
   */
  function applyNews(records: readonly DirectoryRecord[]): void {
    state.holdRemovalsUntil(clock.getNowMs() + StoreFollowers.REAPPEAR_MS);
    state.applyRecords(records);
  }

  async function callPeer(peer: string): Promise<void> {
    const before = state.getRevision();
    // Some pages of a first reading name new revisions, while most keys are still unknown.
    const after = options.getSeenRevision() > 0 ? before : toldRevision;
    const answer = await client.readRecords(peer, after);
    if (answer.kind === 'failed' || answer.records.length === 0) return;
    applyNews(answer.records);
    toldRevision = Math.max(toldRevision, answer.seenRevision);
    logEvent(Events.LEARNED_FROM_PEER, {
      peer,
      records: answer.records.length,
      before,
      after: state.getRevision(),
    });
  }

  return {
    async run(signal: AbortSignal): Promise<void> {
      while (!signal.aborted) {
        await clock.waitMs(INTERVAL_MS, signal);
        const lostSinceMs = options.getLostSinceMs();
        const isLost = lostSinceMs !== undefined && clock.getNowMs() - lostSinceMs >= PATIENCE_MS;
        if (isLost && !signal.aborted) await Promise.all(samplePeers().map(callPeer));
      }
    },
  };
}
