/** Plug-in `platform`: the key-value service, the configuration and its exchange. */
import type { Plugin, PluginContext, PluginInstance } from '@sequoiarill/types';

import * as News from './configurationNews';
import * as States from './configurationState';
import * as DocumentRecords from './documentRecords';
import * as Events from './events';
import * as LeaseKeepers from './leaseKeeper';
import * as PlatformConnections from './platformConnection';
import type { PlatformConnection } from './platformConnection';
import * as PlatformReaders from './platformReader';
import { platformSchema } from './platformSettings';
import type { PlatformSettings } from './platformSettings';
import * as ReaderDuties from './readerDuty';
import * as SourceFollowers from './sourceFollower';

/** A dead reader is replaced about when its news count as stale; three refreshes fit in. */
const READER_TTL_SECONDS = 4;

interface AwayMark {
  readonly markAway: (isAway: boolean) => void;
  readonly isAway: () => boolean;
}

/** Logs an outage once at its start and once at its end. */
function createAwayMark(context: PluginContext): AwayMark {
  let isAwayNow = false;
  return {
    markAway(isAway) {
      if (isAway !== isAwayNow) {
        context.logEvent(isAway ? Events.PLATFORM_AWAY : Events.PLATFORM_BACK);
      }
      isAwayNow = isAway;
    },
    isAway: () => isAwayNow,
  };
}

function createDuty(
  context: PluginContext,
  settings: PlatformSettings,
  connection: PlatformConnection,
  news: News.NewsKeeper,
  state: States.ConfigurationState,
  markAway: (isAway: boolean) => void,
): ReaderDuties.ReaderDuty {
  const { clock, logEvent, nextRandom, process } = context;
  const { store } = connection;
  const keeper = LeaseKeepers.createLeaseKeeper({
    store,
    clock,
    nextRandom,
    key: `duties/${process.zone}/reader`,
    holder: process.name,
    ttlSeconds: READER_TTL_SECONDS,
  });
  const { applyRecords } = state;
  const followers = DocumentRecords.SOURCES.map((source) =>
    SourceFollowers.createSourceFollower({
      source,
      store,
      clock,
      logEvent,
      nextRandom,
      applyRecords,
    }),
  );
  const reader = PlatformReaders.createPlatformReader({
    followers,
    clock,
    handleConfirmed: (revision) => news.confirmNews(keeper.getFence(), revision),
    markAway,
  });
  const { reader: mode } = settings;
  return ReaderDuties.createReaderDuty({
    mode,
    keeper,
    reader,
    news,
    clock,
    logEvent,
    nextRandom,
    markAway,
  });
}

/** Waits for the first configuration, so that a router that is ready knows its organisations. */
async function waitForFirst(
  state: States.ConfigurationState,
  context: PluginContext,
  limitMs: number,
): Promise<void> {
  if (state.getConfiguration().revision > 0) return;
  const first = new AbortController();
  const unsubscribe = state.subscribeConfiguration(() => first.abort());
  await context.clock.waitMs(limitMs, first.signal);
  unsubscribe();
}

function createInstance(context: PluginContext, settings: PlatformSettings): PluginInstance {
  const { clock, logEvent, metrics } = context;
  const connection = PlatformConnections.openPlatform(settings, metrics);
  const news = News.createNewsKeeper(clock, ReaderDuties.STALE_NEWS_MS);
  const state = States.createConfigurationState({ clock, logEvent, metrics, news });
  const away = createAwayMark(context);
  const duty = createDuty(context, settings, connection, news, state, away.markAway);
  const stopping = new AbortController();
  let running: Promise<void> | undefined;
  return {
    capabilities: {
      configuration: state,
      configurationExchange: state,
      keyValue: connection.store,
    },
    async start() {
      running = duty.run(stopping.signal);
      await waitForFirst(state, context, settings.startWaitMs);
    },
    async stop() {
      stopping.abort();
      await running;
      await connection.close();
    },
    dumpState: () => ({
      endpoints: settings.endpoints,
      isAway: away.isAway(),
      isReader: duty.isReader(),
      calls: connection.counter.getCounts(),
      configuration: state.dumpState(),
    }),
  };
}

export const platformPlugin: Plugin<PlatformSettings> = {
  name: 'platform',
  settingsSchema: platformSchema,
  provides: ['configuration', 'configurationExchange', 'keyValue'],
  needs: [],
  events: Object.values(Events),
  createInstance,
};
