/** What a router knows, as exchanges with peers read and change it. Pure: time is an argument. */
import type { ConfigurationExchange } from '@sequoiarill/types';

import * as FactCodec from './factCodec';
import type { FailureDetector } from './failureDetector';
import type { ExchangeInput, PeersMessage } from './messages';
import type { PeerRecord } from './peerRecord';
import type { MergeOutcome, PeerRegistry } from './peerRegistry';
import type { TargetHealthRegistry } from './targetHealthRegistry';

/** Changes of state that a request carries unasked; a rack's worth of targets. */
const MAX_NEWS_FACTS = 64;

export interface ExchangeOptions {
  readonly peers: PeerRegistry;
  readonly targets: TargetHealthRegistry;
  readonly detector: FailureDetector;
  readonly configuration: ConfigurationExchange;
  readonly getNowMs: () => number;
  readonly onTargetsChanged: (targets: readonly string[]) => void;
  readonly onPeerRecord: (record: PeerRecord, outcome: MergeOutcome) => void;
  /** A peer showed a newer revision; it is worth asking soon. */
  readonly onNewerConfiguration: (address: string) => void;
}

export interface ExchangeState extends ExchangeOptions {
  readonly buildInput: () => ExchangeInput;
  readonly buildPeers: (zones: readonly string[]) => PeersMessage;
  readonly mergeRecords: (records: readonly PeerRecord[]) => void;
  /** After a change of the own record or of who is dead. */
  readonly updateRoster: () => void;
  readonly recordHeartbeats: (versions: readonly number[]) => void;
  /** The router was in touch and showed this revision. */
  readonly recordContact: (name: string, revision: number) => void;
  readonly isZoneMate: (name: string) => boolean;
  /** Revision the router showed when it was last in touch; 0 before. */
  readonly getRevision: (name: string) => number;
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
      // Others held this process for dead: what it saw meanwhile is not worth their belief.
      if (outcome === 'refuted') targets.removeOwn();
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
      // Another process told facts under this one's name and incarnation.
      else if (version > targets.getOwnVersion()) peers.setIncarnationAbove(self.incarnation);
    });
    if (peers.getSelf() !== self) updateRoster();
  }

  updateRoster();
  return {
    ...options,
    buildInput() {
      const nowMs = getNowMs();
      const news = targets.listNews(nowMs, MAX_NEWS_FACTS);
      return {
        from: peers.getSelf().name,
        peersHash: peers.getHash(),
        configuration: configuration.getAnnouncement(),
        targets: {
          rosterHash: peers.getRosterHash(),
          versions: [...targets.getVersions()],
          news: FactCodec.encodeObservers(news, peers.getRoster(), nowMs),
        },
      };
    },
    buildPeers(zones) {
      const records = zones.flatMap((zone) => peers.listZoneRecords(zone));
      return { from: peers.getSelf().name, zones: [...zones], records };
    },
    isZoneMate: (name) => peers.findRecord(name)?.zone === peers.getSelf().zone,
    mergeRecords,
    updateRoster,
    recordHeartbeats,
    recordContact(name, revision) {
      revisions.set(name, revision);
      detector.recordAnswer(name, getNowMs());
    },
    getRevision: (name) =>
      name === peers.getSelf().name
        ? configuration.getAnnouncement().revision
        : (revisions.get(name) ?? 0),
  };
}
