/** Everything one router does to know the configuration: its state, news and share of the reading. */
import type { Clock, LogEvent, Metrics, ProcessSettings } from '@sequoiarill/types';

import * as News from './configurationNews';
import * as States from './configurationState';
import type { ConfigurationState } from './configurationState';
import * as DocumentRecords from './documentRecords';
import * as Events from './events';
import type { PlatformStore } from './keyValueStore';
import * as LeaseKeepers from './leaseKeeper';
import * as PlatformReaders from './platformReader';
import * as ReaderDuties from './readerDuty';
import type { ReaderMode } from './readerDuty';
import * as SectionHistory from './sectionHistory';
import * as SectionParser from './sectionParser';
import * as SourceFollowers from './sourceFollower';

export interface FollowedConfigurationOptions {
  readonly process: Pick<ProcessSettings, 'name' | 'zone'>;
  readonly mode: ReaderMode;
  readonly store: PlatformStore;
  readonly clock: Clock;
  readonly nextRandom: () => number;
  readonly logEvent: LogEvent;
  readonly metrics: Metrics;
}

export interface FollowedConfiguration {
  readonly state: ConfigurationState;
  readonly isReader: () => boolean;
  /** The last call to the platform failed. */
  readonly isAway: () => boolean;
  /** Follows until the signal is aborted. */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

/** A dead reader is replaced about when its news count as stale; three refreshes fit in. */
const READER_TTL_SECONDS = 4;

interface AwayMark {
  readonly markAway: (isAway: boolean) => void;
  readonly isAway: () => boolean;
}

/** Logs an outage once at its start and once at its end. */
function createAwayMark(logEvent: LogEvent): AwayMark {
  let isAwayNow = false;
  return {
    markAway(isAway) {
      if (isAway !== isAwayNow) logEvent(isAway ? Events.PLATFORM_AWAY : Events.PLATFORM_BACK);
      isAwayNow = isAway;
    },
    isAway: () => isAwayNow,
  };
}

/**
 * Failure: a section was overwritten past the commands with text that does not parse, and this router
 * started after that. Others go on with the last good text; this one would turn a team's callers away.
 * The history keeps what was accepted, with its revision.
 */
async function applyLastGood(store: PlatformStore, state: ConfigurationState): Promise<void> {
  for (const name of state.listWithoutText()) {
    const history = (await SectionHistory.readHistory(store, name)) ?? [];
    const newestFirst = [...history].reverse();
    const good = newestFirst.find(
      ({ text }) => SectionParser.parseSection(text, 'history', name).kind === 'section',
    );
    if (good !== undefined) {
      state.applyRecords([{ name, revision: good.revision, text: good.text }]);
    }
  }
}

export function createFollowedConfiguration(
  options: FollowedConfigurationOptions,
): FollowedConfiguration {
  const { process, mode, store, clock, nextRandom, logEvent, metrics } = options;
  const news = News.createAnnouncementStore(clock, ReaderDuties.STALE_NEWS_MS);
  const state = States.createConfigurationState({ clock, logEvent, metrics, announcements: news });
  const { markAway, isAway } = createAwayMark(logEvent);
  const keeper = LeaseKeepers.createLeaseKeeper({
    store,
    clock,
    nextRandom,
    key: `duties/${process.zone}/reader`,
    holder: process.name,
    ttlSeconds: READER_TTL_SECONDS,
  });
  const applyRecords: ConfigurationState['applyRecords'] = (records) => {
    state.applyRecords(records);
    reader.handleChange();
  };
  const followers = DocumentRecords.SOURCES.map((source) => {
    const parts = { source, store, clock, logEvent, nextRandom, applyRecords };
    return SourceFollowers.createSourceFollower(parts);
  });
  const reader = PlatformReaders.createPlatformReader({
    followers,
    clock,
    handleConfirmed: (revision) =>
      news.confirmNews(keeper.getFence(), state.findNewestRevision(revision)),
    markAway,
    handleRead: () => applyLastGood(store, state),
  });
  const readInstead = async () => {
    const outcome = await reader.readOnce();
    if (outcome.kind !== 'confirmed') return;
    news.updateRevision(state.findNewestRevision(outcome.revision));
  };
  const parts = { mode, readInstead, keeper, reader, news, clock, logEvent, nextRandom, markAway };
  const duty = ReaderDuties.createReaderDuty(parts);
  return { state, isReader: duty.isReader, isAway, run: duty.run };
}
