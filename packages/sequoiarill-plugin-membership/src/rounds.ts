/** What a router does in each round, apart from the calls themselves. Pure. */
import type { Peer } from '@sequoiarill/types';

import type { ExchangeState } from './exchangeState';
import type { ExchangeOutcome } from './exchangeTasks';
import * as Partners from './partners';
import type { PeerRecord } from './peerRecord';
import * as ZoneReaches from './zoneReachability';

/**
 * A gap between rounds above this is a pause of this process: stopped, swapped out, or a blocked
 * event loop. Below the shortest silence that makes a suspect, far above a late timer.
 */
export const PAUSE_MS = 2_000;

/** What nobody uses any more is looked for this seldom; nothing depends on when it goes. */
const CLEAN_ROUNDS = 20;

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
  /** How long this process was paused before the round; 0 when it was not. */
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
  readonly listZonesAway: () => readonly string[];
}

export function createRounds(options: RoundsOptions): Rounds {
  const { state, seeds, nextRandom } = options;
  const { peers, targets, detector } = state;
  const zones = ZoneReaches.createZoneReach();
  let round = 0;
  let lastRoundMs = state.getNowMs();

  function isZoneMate(record: PeerRecord): boolean {
    const self = peers.getSelf();
    return record.zone === self.zone && record.name !== self.name && record.state !== 'dead';
  }

  /** Before anything is decided: a pause would make everybody look silent. */
  function checkPause(nowMs: number): number {
    const gapMs = nowMs - lastRoundMs;
    lastRoundMs = nowMs;
    if (gapMs < PAUSE_MS) return 0;
    detector.restartSilence(nowMs);
    return gapMs;
  }

  function decideDeaths(nowMs: number): readonly PeerRecord[] {
    const mates = peers.listRecords().filter(isZoneMate);
    const dead = mates.filter(({ name }) => detector.decideLiveness(name, nowMs) === 'dead');
    dead.forEach(({ name }) => peers.markDead(name, nowMs));
    if (dead.length > 0) state.updateRoster();
    return dead;
  }

  function listProbes(nowMs: number): readonly Probe[] {
    const records = peers.listRecords();
    const suspects = records
      .filter(isZoneMate)
      .filter(({ name }) => detector.decideLiveness(name, nowMs) === 'suspect');
    return suspects.map((suspect) => ({
      suspect,
      helpers: Partners.chooseHelpers({ self: peers.getSelf(), records, nextRandom }, suspect),
    }));
  }

  function getState(record: PeerRecord, nowMs: number): Peer['state'] {
    const self = peers.getSelf();
    if (record.state !== 'alive' || record.name === self.name) return record.state;
    if (record.zone !== self.zone) return zones.isAway(record.zone) ? 'suspect' : 'alive';
    return detector.decideLiveness(record.name, nowMs) === 'alive' ? 'alive' : 'suspect';
  }

  return {
    startRound() {
      const nowMs = state.getNowMs();
      const pausedMs = checkPause(nowMs);
      round += 1;
      targets.recordBeat();
      if (round % CLEAN_ROUNDS === 0) {
        targets.removeAged(nowMs);
        peers.removeForgotten(nowMs);
      }
      const dead = decideDeaths(nowMs);
      const partners = Partners.choosePartners({
        self: peers.getSelf(),
        records: peers.listRecords(),
        seeds,
        round,
        hasNews: targets.hasNews(nowMs),
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
        configurationRevision: state.getRevision(record.name),
      }));
    },
    listZonesAway: () => zones.listAway(),
  };
}
