/** Builds the section of this plug-in in the state dump. */
import type { StateDump } from '@sequoiarill/types';

import type { ExchangeState } from './exchangeState';
import type { PeerTraffic } from './peerClient';
import * as Records from './peerRecord';
import type { ServedTraffic } from './peerServer';
import type { ExchangeCounts } from './peerTasks';
import type { Rounds } from './rounds';

export interface DumpOptions {
  readonly state: ExchangeState;
  readonly rounds: Rounds;
  readonly exchanges: ExchangeCounts;
  readonly served: ServedTraffic;
  readonly called: PeerTraffic;
}

export function dumpRouter(options: DumpOptions): StateDump {
  const { state, rounds, exchanges, served, called } = options;
  const nowMs = state.getNowMs();
  const self = state.peers.getSelf();
  const peers = [...rounds.listPeers()].sort(Records.compareNames);
  return {
    address: self.address,
    incarnation: self.incarnation,
    configuration: state.configuration.getAnnouncement(),
    zonesAway: rounds.listUnreachableZones(),
    peers: peers.map((peer) => ({
      name: peer.name,
      zone: peer.zone,
      region: peer.region,
      address: peer.address,
      state: peer.state,
      incarnation: peer.incarnation,
      revision: peer.configurationRevision,
      ...(peer.zone === self.zone && peer.name !== self.name
        ? { silentMs: Math.round(state.detector.getSilenceMs(peer.name, nowMs)) }
        : {}),
    })),
    targets: dumpTargets(state, nowMs),
    exchanges,
    served,
    called,
  };
}

function dumpTargets(state: ExchangeState, nowMs: number): readonly unknown[] {
  return [...state.targets.listTargets()].sort().map((target) => {
    const health = state.targets.getHealth(target, nowMs);
    if (health === undefined) return { target, state: 'unknown' };
    return { ...health, ageMs: Math.round(health.ageMs) };
  });
}
