/** What this router knows of one active service, of its own and from other routers. */
import type { FleetRepeats, OwnRepeats, RoomFacts, RoomMessage } from '@sequoiarill/types';

import * as DigestStores from './digestStore';
import type { DigestStore } from './digestStore';
import * as FactSums from './factSums';
import * as OwnFigures from './ownFigures';
import * as ReportStores from './reportStore';
import * as ShareFractions from './shareFractions';
import * as ZoneSums from './zoneSums';

export interface ServiceState {
  readonly own: OwnFigures.OwnFigures;
  readonly shares: ShareFractions.ShareFractions;
  readonly digests: Pick<DigestStore, 'getDigest' | 'getAgeMs' | 'takeChange'>;
  /** Returns whether the facts are newer than what the sender sent before. */
  readonly recordMessage: (message: RoomMessage, facts: RoomFacts) => boolean;
  /** Records what the collector of another zone answered. */
  readonly recordZoneAnswer: (zone: string, router: string, facts: RoomFacts) => void;
  /** Records the fleet's sums, as a collector answered them to a report of this router. */
  readonly recordDigest: (digest: RoomFacts, reported: RoomFacts) => void;
  /** Computes the fleet's sums of what was received here, as the collector does for itself. */
  readonly updateDigest: () => void;
  readonly setCollector: (isCollector: boolean) => void;
  readonly isCollector: () => boolean;
  /** Whether there is something to report: own traffic, or what ended routers left behind. */
  readonly hasNews: () => boolean;
  /** Whether routers other than the given one report here. */
  readonly hasReports: (except: string | undefined) => boolean;
  readonly buildReport: () => RoomFacts;
  readonly buildZoneSum: () => RoomFacts;
  /** Answer to a report: the sums of all zones. */
  readonly buildDigest: () => RoomFacts;
  /** Own figures as they are now, and the last known ones of all other routers. */
  readonly buildFleet: () => RoomFacts;
  /** Totals of `buildFleet` for the retry budget; undefined without a digest of the last seconds. */
  readonly computeRepeats: () => FleetRepeats | undefined;
  /** Called after a pause of this process, in which it received nothing. */
  readonly removeCeased: () => void;
  readonly removeOld: () => void;
}

export interface ServiceStateOptions {
  readonly service: string;
  readonly getNowMs: () => number;
  readonly readRepeats: (service: string) => OwnRepeats;
}

export function createServiceState(options: ServiceStateOptions): ServiceState {
  const { service, getNowMs } = options;
  const own = OwnFigures.createOwnFigures(getNowMs);
  const reports = ReportStores.createReportStore();
  const zones = ZoneSums.createZoneSums();
  const digests = DigestStores.createDigestStore();
  let isCollector = false;

  function readRepeats(): OwnRepeats {
    const { requests, retries, capacity, isSettled } = options.readRepeats(service);
    return {
      isSettled,
      requests: FactSums.computeBounded(requests),
      retries: FactSums.computeBounded(retries),
      capacity: FactSums.computeBounded(capacity),
    };
  }

  function buildOwn(): RoomFacts {
    const { isSettled, ...repeats } = readRepeats();
    return {
      ...FactSums.createEmptyFacts(service),
      ...own.buildFacts(),
      repeats,
      endedRepeats: reports.computeEnded(getNowMs(), isCollector),
      routers: 1,
      settledRouters: isSettled ? 1 : 0,
    };
  }

  function buildZone(): RoomFacts {
    return FactSums.mergeFacts(service, [buildOwn(), ...reports.listLive(getNowMs())]);
  }

  function buildFleet(): RoomFacts {
    const others = digests.getDigest(getNowMs());
    return FactSums.mergeFacts(service, [buildOwn(), ...(others === undefined ? [] : [others])]);
  }

  function recordOthers(others: RoomFacts): void {
    digests.recordDigest(others, getNowMs());
    own.recordSpeeds(others.speeds);
  }

  return {
    own,
    shares: ShareFractions.createShareFractions({ getNowMs, buildFleet }),
    digests,
    recordMessage(message, facts) {
      if (message.scope === 'router') return reports.recordReport(message, facts, getNowMs());
      const { zone, router } = message;
      return zones.recordSum({ zone, router, number: message }, facts, getNowMs());
    },
    recordZoneAnswer: (zone, router, facts) => zones.recordSum({ zone, router }, facts, getNowMs()),
    recordDigest: (digest, reported) => recordOthers(FactSums.removeFacts(digest, reported)),
    updateDigest() {
      const nowMs = getNowMs();
      const parts = [...reports.listLive(nowMs), ...zones.listSums(nowMs)];
      recordOthers(FactSums.mergeFacts(service, parts));
    },
    setCollector(value) {
      isCollector = value;
    },
    isCollector: () => isCollector,
    hasNews() {
      const { requests, retries } = reports.computeEnded(getNowMs(), isCollector);
      return own.hasTraffic() || requests + retries > 0;
    },
    hasReports: (except) => reports.listLive(getNowMs(), except).length > 0,
    buildReport: () => FactSums.buildMessageFacts(buildOwn()),
    buildZoneSum: () => FactSums.buildMessageFacts(buildZone()),
    buildDigest: () =>
      FactSums.buildMessageFacts(
        FactSums.mergeFacts(service, [buildZone(), ...zones.listSums(getNowMs())]),
      ),
    buildFleet,
    computeRepeats() {
      const others = digests.getDigest(getNowMs());
      if (others === undefined) return undefined;
      const { isSettled, ...ownRepeats } = readRepeats();
      const repeats = FactSums.mergeRepeats(ownRepeats, others.repeats);
      const held = reports.computeEnded(getNowMs(), isCollector);
      const ended = FactSums.mergeEnded(held, others.endedRepeats);
      return {
        ...repeats,
        endedRequests: ended.requests,
        endedRetries: ended.retries,
        routers: others.routers + 1,
        settledRouters: others.settledRouters + (isSettled ? 1 : 0),
      };
    },
    removeCeased: () => reports.removeCeased(getNowMs()),
    removeOld() {
      reports.removeOld(getNowMs());
      zones.removeOld(getNowMs());
    },
  };
}
