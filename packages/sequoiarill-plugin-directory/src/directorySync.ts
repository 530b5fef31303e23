/** Keeps the directory of one router in step with the store, with the readers of its zone and with peers. */
import type { Clock, ForwardingWire, KeyValueStore, LogEvent } from '@sequoiarill/types';

import * as DirectoryStates from './directoryState';
import type { DirectoryState } from './directoryState';
import * as FreshReads from './freshReads';
import type { PeerClient } from './peerClient';
import * as PeerUpdates from './peerUpdates';
import * as StoreFollowers from './storeFollower';
import type { StoreFollower } from './storeFollower';
import * as ZoneReaders from './zoneReaders';
import type { ZoneReaders as Readers } from './zoneReaders';

export interface DirectorySyncOptions {
  readonly store: KeyValueStore;
  readonly wire: ForwardingWire;
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly nextRandom: () => number;
  readonly zone: string;
  /** `IP:port` of this router. */
  readonly getOwnAddress: () => string;
  /** `IP:port` of some routers, for the time before the store has provided any. */
  readonly seeds: readonly string[];
  readonly readRecords: PeerClient['readRecords'];
  /** Receives the age that a confirmation had reached when a newer one arrived, in milliseconds. */
  readonly recordAge: (ageMs: number) => void;
  /** Receives whether a read on behalf of a question was answered. */
  readonly recordFreshRead: (isAnswered: boolean) => void;
}

export interface DirectorySync {
  readonly state: DirectoryState;
  readonly follower: StoreFollower;
  readonly chooseReader: Readers['chooseReader'];
  /** `IP:port` of the other routers that are known. */
  readonly listPeers: () => readonly string[];
  readonly isUpToDate: () => boolean;
  readonly verifySince: FreshReads.FreshReads['verifySince'];
  /** Runs until the signal is aborted. */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

/** A change is to be in force this long after the store has confirmed it; the restart of a target takes longer. */
const MAX_CONFIRMED_AGE_MS = 2_000;

export function createDirectorySync(options: DirectorySyncOptions): DirectorySync {
  const { store, wire, clock, logEvent, nextRandom, getOwnAddress, readRecords } = options;
  const state = DirectoryStates.createDirectoryState({
    wire,
    logEvent,
    getNowMs: clock.getNowMs,
  });
  const zoneReaders = ZoneReaders.createZoneReaders({
    getOwnAddress,
    zone: options.zone,
    listRouters: state.listRouters,
    getNowMs: clock.getNowMs,
  });
  const follower = StoreFollowers.createStoreFollower({
    store,
    state,
    clock,
    logEvent,
    nextRandom,
    ...zoneReaders,
    readPeer: readRecords,
    recordAge: options.recordAge,
  });

  function listPeers(): readonly string[] {
    const known = state.listRouters().map(({ address }) => address);
    const peers = new Set([...known, ...options.seeds]);
    peers.delete(getOwnAddress());
    return [...peers];
  }

  const peerUpdates = PeerUpdates.createPeerUpdates({
    state,
    client: { readRecords },
    clock,
    logEvent,
    nextRandom,
    listPeers,
    follower,
  });

  const freshReads = FreshReads.createFreshReads({
    store,
    state,
    clock,
    confirmation: follower,
    prefix: StoreFollowers.WATCHED_PREFIX,
    countRouters: state.countRouters,
    recordRead: options.recordFreshRead,
  });

  return {
    state,
    follower,
    chooseReader: zoneReaders.chooseReader,
    listPeers,
    isUpToDate: () => follower.getAgeMs() < MAX_CONFIRMED_AGE_MS,
    verifySince: freshReads.verifySince,
    async run(signal) {
      await Promise.all([follower.run(signal), peerUpdates.run(signal)]);
    },
  };
}
