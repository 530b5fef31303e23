/** Plug-in `directory`: knows what is forwarded where and which targets live. */
import * as Kernel from '@sequoiarill/kernel';
import type {
  CrashHandlers,
  Plugin,
  PluginContext,
  PluginInstance,
  RolloutGuidance,
  RouterPeers,
} from '@sequoiarill/types';
import * as Zod from 'zod';

import * as DirectoryStates from './directoryState';
import * as Events from './events';
import * as PeerClients from './peerClient';
import * as PeerNews from './peerNews';
import * as PeerServers from './peerServer';
import * as Registrations from './registration';
import * as StoreFollowers from './storeFollower';
import * as ZoneReaders from './zoneReaders';

/** Section `[directory]`. */
export const settingsSchema = Zod.strictObject({
  /** `IP:port` for other routers. */
  listen: Kernel.addressSchema,
  /** `IP:port` of some routers, for the time before the store has named any. */
  seeds: Kernel.listSchema.default([]),
});

const NO_CRASH_HANDLERS: CrashHandlers = {
  handleCrashes: () => undefined,
  handleAnswers: () => undefined,
  handleBlocks: () => [],
};
const NO_GUIDANCE: RolloutGuidance = { isHalted: false, avoided: [] };
/** A shorter silence of the store is no outage; a restart takes longer as well. Milliseconds. */
const NEWS_MS = 1_000;

export type DirectorySettings = Readonly<Zod.infer<typeof settingsSchema>>;

function createInstance(context: PluginContext, settings: DirectorySettings): PluginInstance {
  const { clock, logEvent, nextRandom } = context;
  const wire = context.getCapability('wire');
  const store = context.getCapability('keyValue');
  const state = DirectoryStates.createDirectoryState({
    wire,
    logEvent,
    getNowMs: clock.getNowMs,
  });
  /** Bound when the server has started: the port may be left to the system. */
  let self = settings.listen;
  const client = PeerClients.createPeerClient(wire.headers, clock);
  const readers = ZoneReaders.createZoneReaders({
    getSelf: () => self,
    zone: context.process.zone,
    listRouters: state.listRouters,
    getNowMs: clock.getNowMs,
  });
  const follower = StoreFollowers.createStoreFollower({
    store,
    state,
    clock,
    logEvent,
    nextRandom,
    ...readers,
    readPeer: client.readRecords,
  });
  let lender: Parameters<RouterPeers['setRetryQuotaLender']>[0] | undefined;
  let reportHandler: Parameters<RouterPeers['setReportHandler']>[0] = () => NO_GUIDANCE;
  let permitsLender: Parameters<RouterPeers['setPermitsLender']>[0] = () => ({ permits: 0 });
  let crashHandlers = NO_CRASH_HANDLERS;
  const server = PeerServers.createPeerServer(
    {
      state,
      follower,
      clock,
      lendRepeats: (loan) => lender?.(loan) ?? 0,
      handleReport: (report) => reportHandler(report),
      lendPermits: (question) => permitsLender(question),
      handleCrashes: (crashes) => crashHandlers.handleCrashes(crashes),
      handleAnswers: (answers) => crashHandlers.handleAnswers(answers),
      handleBlocks: (blocks) => crashHandlers.handleBlocks(blocks),
    },
    settings.listen,
  );
  const news = PeerNews.createPeerNews({
    state,
    client,
    clock,
    logEvent,
    nextRandom,
    listPeers,
    getSeenRevision: follower.getSeenRevision,
    getLostSinceMs: follower.getLostSinceMs,
  });
  const key = `${wire.ownPrefix}routers/${context.process.name}`;
  const stopping = new AbortController();
  let running: Promise<unknown> | undefined;

  function hasNews(): boolean {
    const lostSinceMs = follower.getLostSinceMs();
    return lostSinceMs === undefined || clock.getNowMs() - lostSinceMs < NEWS_MS;
  }

  function listPeers(): readonly string[] {
    const peers = new Set([
      ...state.listRouters().map(({ address }) => address),
      ...settings.seeds,
    ]);
    peers.delete(self);
    return [...peers];
  }

  /** Routers of this zone first: they answer soonest, and are there when the zone is cut off. */
  function listNearest(): readonly string[] {
    const { zone } = context.process;
    const others = state.listRouters().filter(({ address }) => address !== self);
    const places = others.map((router) => ({ router, place: nextRandom() }));
    return places
      .map(({ router, place }) => ({ router, place: router.zone === zone ? place : 1 + place }))
      .sort((left, right) => left.place - right.place)
      .map(({ router }) => router.address);
  }

  const peers: RouterPeers = {
    listNearest,
    borrowRetryQuota: client.borrowRepeats,
    setRetryQuotaLender(lendRepeats) {
      lender = lendRepeats;
    },
    get self() {
      return self;
    },
    listRouters: state.listRouters,
    borrowPermits: client.borrowPermits,
    setPermitsLender(lend) {
      permitsLender = lend;
    },
    sendReport: client.sendReport,
    reportCrashes: client.reportCrashes,
    reportAnswers: client.reportAnswers,
    exchangeBlocks: client.exchangeBlocks,
    setCrashHandlers(handlers) {
      crashHandlers = handlers;
    },
    setReportHandler(handleReport) {
      reportHandler = handleReport;
    },
  };

  return {
    capabilities: { directory: { ...state, isUpToDate: hasNews }, peers },
    async start() {
      self = await server.start();
      const entry = { address: self, zone: context.process.zone };
      running = Promise.all([
        follower.run(stopping.signal),
        news.run(stopping.signal),
        Registrations.runRegistration({ store, clock, key, entry }, stopping.signal),
      ]);
    },
    async stop() {
      stopping.abort();
      await running;
      await Promise.all([server.stop(), client.close()]);
    },
    dumpState: () => ({
      isConnected: follower.isConnected(),
      revision: state.getRevision(),
      peers: listPeers().length,
      reader: readers.chooseReader(),
      ageMs: Math.round(follower.getAgeMs()),
      version: state.getConfiguration()?.version,
      routes: state.getConfiguration()?.routes.length ?? 0,
    }),
  };
}

export const plugin: Plugin<DirectorySettings> = {
  name: 'directory',
  settingsSchema,
  provides: ['directory', 'peers'],
  needs: ['wire', 'keyValue'],
  events: Events.EVENTS,
  createInstance,
};
