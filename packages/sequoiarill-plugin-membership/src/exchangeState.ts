/** State of a router that exchanges with peers read and update. No I/O: the time is an argument. */
import type { ConfigurationExchange } from '@sequoiarill/types';

import * as FactCodec from './factCodec';
import type { FailureDetector } from './failureDetector';
import type { ExchangeInput, PeersMessage } from './messages';
import type { PeerRecord } from './peerRecord';
import type { MergeOutcome, PeerRegistry } from './peerRegistry';
import type { TargetHealthRegistry } from './targetHealthRegistry';

/** Limit on the state changes pushed with a request; covers the targets of one rack. */
const MAX_UPDATE_FACTS = 64;

export interface ExchangeOptions {
  readonly peers: PeerRegistry;
  readonly targets: TargetHealthRegistry;
  readonly detector: FailureDetector;
  readonly configuration: ConfigurationExchange;
  readonly getNowMs: () => number;
  readonly onTargetsChanged: (targets: readonly string[]) => void;
  readonly onPeerRecord: (record: PeerRecord, outcome: MergeOutcome) => void;
  /** Called if a peer announces a newer revision, which can be pulled from it. */
  readonly onNewerConfiguration: (address: string) => void;
}

export interface ExchangeState extends ExchangeOptions {
  readonly buildExchangeInput: () => ExchangeInput;
  readonly buildPeersMessage: (zones: readonly string[]) => PeersMessage;
  readonly mergeRecords: (records: readonly PeerRecord[]) => void;
  /** Must be called after the own record changed or a router was marked dead. */
  readonly updateRoster: () => void;
  readonly recordHeartbeats: (versions: readonly number[]) => void;
  /** Records a contact with a router and the revision that it announced. */
  readonly recordContact: (name: string, revision: number) => void;
  readonly isSameZone: (name: string) => boolean;
  /** Revision that the router announced at its last contact; 0 if there was none. */
  readonly getPeerRevision: (name: string) => number;
}

export function createExchangeState(options: ExchangeOptions): ExchangeState {
  const { peers, targets, detector, configuration, getNowMs } = options;
  const revisions = new Map<string, number>();

  function updateRoster(): void {
    const roster = peers.getRoster();
    targets.setRoster(roster);
    const others = roster.filter(({ name }) => name !== peers.getSelf().name);
    detector.setRoster(others, getNowMs());
  }

  function mergeRecords(records: readonly PeerRecord[]): void {
    const nowMs = getNowMs();
    for (const record of records) {
      const outcome = peers.mergeRecord(record, nowMs);
      // Other routers considered this process dead, so its earlier observations may be outdated.
      if (outcome === 'refuted') targets.removeOwnFacts();
      if (outcome !== 'known') options.onPeerRecord(record, outcome);
    }
    updateRoster();
  }

  function recordHeartbeats(versions: readonly number[]): void {
    const nowMs = getNowMs();
    const self = peers.getSelf();
    peers.getRoster().forEach(({ name }, index) => {
      const version = versions[index] ?? 0;
      if (name !== self.name) detector.recordVersion(name, version, nowMs);
      // Another process published facts under this one's name and incarnation.
      else if (version > targets.getOwnVersion()) peers.setIncarnationAbove(self.incarnation);
    });
    if (peers.getSelf() !== self) updateRoster();
  }

  updateRoster();
  return {
    ...options,
    buildExchangeInput() {
      const nowMs = getNowMs();
      const updates = targets.listUpdates(nowMs, MAX_UPDATE_FACTS);
      return {
        from: peers.getSelf().name,
        peersHash: peers.getHash(),
        configuration: configuration.getAnnouncement(),
        targets: {
          rosterHash: peers.getRosterHash(),
          versions: [...targets.getVersions()],
          news: FactCodec.encodeObservers(updates, peers.getRoster(), nowMs),
        },
      };
    },
    buildPeersMessage(zones) {
      const records = zones.flatMap((zone) => peers.listZoneRecords(zone));
      return { from: peers.getSelf().name, zones: [...zones], records };
    },
    isSameZone: (name) => peers.findRecord(name)?.zone === peers.getSelf().zone,
    mergeRecords,
    updateRoster,
    recordHeartbeats,
    recordContact(name, revision) {
      revisions.set(name, revision);
      detector.recordContact(name, getNowMs());
    },
    getPeerRevision: (name) =>
      name === peers.getSelf().name
        ? configuration.getAnnouncement().revision
        : (revisions.get(name) ?? 0),
  };
}
