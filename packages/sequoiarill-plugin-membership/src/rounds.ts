/** Plans each gossip round: partners, probes and deaths. Makes no calls itself. */
import type { Peer } from '@sequoiarill/types';

import type { ExchangeState } from './exchangeState';
import type { ExchangeOutcome } from './exchangeTasks';
import * as Partners from './partners';
import type { PeerRecord } from './peerRecord';
import * as Reachability from './zoneReachability';

/**
 * A longer gap between rounds is treated as a pause of this process: it was stopped, swapped out,
 * or its event loop was blocked. Below the shortest silence after which a router is suspected and
 * far above the usual delay of a timer.
 */
export const PAUSE_THRESHOLD_MS = 2_000;

/** Interval of the removal of expired facts and records; no behaviour depends on its time. */
const CLEANUP_INTERVAL_ROUNDS = 20;

export interface Probe {
  readonly suspect: PeerRecord;
  readonly helpers: readonly PeerRecord[];
}

export interface Round {
  /** Addresses to exchange with. */
  readonly partners: readonly string[];
  readonly probes: readonly Probe[];
  /** Routers declared dead in this round. */
  readonly dead: readonly PeerRecord[];
  /** How long this process was paused before the round; 0 if it was not. */
  readonly pausedMs: number;
}

export interface RoundsOptions {
  readonly state: ExchangeState;
  readonly seeds: readonly string[];
  readonly nextRandom: () => number;
}

export interface Rounds {
  readonly startRound: () => Round;
  readonly recordOutcome: (address: string, outcome: ExchangeOutcome) => void;
  readonly listPeers: () => readonly Peer[];
  readonly listUnreachableZones: () => readonly string[];
}

export function createRounds(options: RoundsOptions): Rounds {
  const { state, seeds, nextRandom } = options;
  const { peers, targets, detector } = state;
  const zones = Reachability.createZoneReachability();
  let round = 0;
  let lastRoundMs = state.getNowMs();

  function isLocalZonePeer(record: PeerRecord): boolean {
    const self = peers.getSelf();
    return record.zone === self.zone && record.name !== self.name && record.state !== 'dead';
  }

  /** Must run before liveness is decided: after a pause all routers appear silent. */
  function checkPause(nowMs: number): number {
    const gapMs = nowMs - lastRoundMs;
    lastRoundMs = nowMs;
    if (gapMs < PAUSE_THRESHOLD_MS) return 0;
    detector.recordPause(nowMs);
    return gapMs;
  }

  function markDeadPeers(nowMs: number): readonly PeerRecord[] {
    const zonePeers = peers.listRecords().filter(isLocalZonePeer);
    const dead = zonePeers.filter(({ name }) => detector.decideLiveness(name, nowMs) === 'dead');
    dead.forEach(({ name }) => peers.markDead(name, nowMs));
    if (dead.length > 0) state.updateRoster();
    return dead;
  }

  function listProbes(nowMs: number): readonly Probe[] {
    const records = peers.listRecords();
    const suspects = records
      .filter(isLocalZonePeer)
      .filter(({ name }) => detector.decideLiveness(name, nowMs) === 'suspect');
    return suspects.map((suspect) => ({
      suspect,
      helpers: Partners.chooseHelpers({ self: peers.getSelf(), records, nextRandom }, suspect),
    }));
  }

  function getState(record: PeerRecord, nowMs: number): Peer['state'] {
    const self = peers.getSelf();
    if (record.state !== 'alive' || record.name === self.name) return record.state;
    if (record.zone !== self.zone) return zones.isUnreachable(record.zone) ? 'suspect' : 'alive';
    return detector.decideLiveness(record.name, nowMs) === 'alive' ? 'alive' : 'suspect';
  }

  return {
    startRound() {
      const nowMs = state.getNowMs();
      const pausedMs = checkPause(nowMs);
      round += 1;
      targets.recordHeartbeat();
      if (round % CLEANUP_INTERVAL_ROUNDS === 0) {
        targets.removeExpired(nowMs);
        peers.removeExpired(nowMs);
      }
      const dead = markDeadPeers(nowMs);
      const partners = Partners.choosePartners({
        self: peers.getSelf(),
        records: peers.listRecords(),
        seeds,
        round,
        hasUpdates: targets.hasUpdates(nowMs),
        nextRandom,
      });
      return { partners, probes: listProbes(nowMs), dead, pausedMs };
    },
    recordOutcome(address, outcome) {
      const record = peers.listRecords().find((candidate) => candidate.address === address);
      if (record === undefined || record.state === 'dead') return;
      if (outcome.kind === 'done') zones.recordSuccess(record.zone);
      else zones.recordFailure(record.zone);
    },
    listPeers() {
      const nowMs = state.getNowMs();
      return peers.listRecords().map((record) => ({
        ...record,
        state: getState(record, nowMs),
        configurationRevision: state.getPeerRevision(record.name),
      }));
    },
    listUnreachableZones: () => zones.listUnreachable(),
  };
}
