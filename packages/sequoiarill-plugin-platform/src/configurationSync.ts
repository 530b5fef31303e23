/**
 * Keeps a router's configuration up to date: by reading the platform or from announcements of
 * peers.
 */
import type { Clock, LogEvent, Metrics, ProcessSettings } from '@sequoiarill/types';

import * as Announcements from './announcementStore';
import * as States from './configurationState';
import type { ConfigurationState } from './configurationState';
import * as DocumentRecords from './documentRecords';
import * as Events from './events';
import type { PlatformStore } from './keyValueStore';
import * as LeaderElections from './leaderElection';
import * as PlatformReaders from './platformReader';
import * as ReaderRoles from './readerRole';
import type { ReaderMode } from './readerRole';
import * as SectionHistory from './sectionHistory';
import * as SectionParser from './sectionParser';
import * as SourceWatchers from './sourceWatcher';

export interface ConfigurationSyncOptions {
  readonly process: Pick<ProcessSettings, 'name' | 'zone'>;
  readonly mode: ReaderMode;
  readonly store: PlatformStore;
  readonly clock: Clock;
  readonly nextRandom: () => number;
  readonly logEvent: LogEvent;
  readonly metrics: Metrics;
}

export interface ConfigurationSync {
  readonly state: ConfigurationState;
  readonly isReader: () => boolean;
  /** Whether the last call to the platform failed. */
  readonly isUnavailable: () => boolean;
  /** Keeps the configuration up to date until the signal is aborted. */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

/**
 * A failed reader is replaced about when its announcement becomes stale. Long enough for three
 * renewal intervals.
 */
const READER_TTL_SECONDS = 4;

interface OutageTracker {
  readonly markUnavailable: (isUnavailable: boolean) => void;
  readonly isUnavailable: () => boolean;
}

/** Logs each platform outage once at its start and once at its end. */
function createOutageTracker(logEvent: LogEvent): OutageTracker {
  let wasDown = false;
  return {
    markUnavailable(isDown) {
      if (isDown !== wasDown) logEvent(isDown ? Events.PLATFORM_AWAY : Events.PLATFORM_BACK);
      wasDown = isDown;
    },
    isUnavailable: () => wasDown,
  };
}

/**
 * Failure: a section was overwritten without the commands by text that does not parse, and this
 * router started afterwards. Other routers continue with the last valid text, while this one would
 * reject the team's callers. The history contains the accepted texts with their revisions.
 */
async function applyLastValidTexts(store: PlatformStore, state: ConfigurationState): Promise<void> {
  for (const name of state.listSectionsWithoutText()) {
    const history = (await SectionHistory.readHistory(store, name)) ?? [];
    const newestFirst = [...history].reverse();
    const lastValid = newestFirst.find(
      ({ text }) => SectionParser.parseSection(text, 'history', name).kind === 'section',
    );
    if (lastValid !== undefined) {
      state.applyRecords([{ name, revision: lastValid.revision, text: lastValid.text }]);
    }
  }
}

export function createConfigurationSync(options: ConfigurationSyncOptions): ConfigurationSync {
  const { process, mode, store, clock, nextRandom, logEvent, metrics } = options;
  const announcements = Announcements.createAnnouncementStore(
    clock,
    ReaderRoles.STALE_ANNOUNCEMENT_MS,
  );
  const state = States.createConfigurationState({ clock, logEvent, metrics, announcements });
  const { markUnavailable, isUnavailable } = createOutageTracker(logEvent);
  const election = LeaderElections.createLeaderElection({
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
  const watchers = DocumentRecords.SOURCES.map((source) => {
    const dependencies = { source, store, clock, logEvent, nextRandom, applyRecords };
    return SourceWatchers.createSourceWatcher(dependencies);
  });
  const reader = PlatformReaders.createPlatformReader({
    watchers,
    clock,
    handleConfirmed: (revision) =>
      announcements.confirmRevision(
        election.getFencingNumber(),
        state.findNewestRevision(revision),
      ),
    markUnavailable,
    handleRead: () => applyLastValidTexts(store, state),
  });
  const readWithoutLease = async () => {
    const outcome = await reader.readOnce();
    if (outcome.kind !== 'confirmed') return;
    announcements.updateRevision(state.findNewestRevision(outcome.revision));
  };
  const dependencies = {
    mode,
    readWithoutLease,
    election,
    reader,
    announcements,
    clock,
    logEvent,
    nextRandom,
    markUnavailable,
  };
  const role = ReaderRoles.createReaderRole(dependencies);
  return { state, isReader: role.isReader, isUnavailable, run: role.run };
}
