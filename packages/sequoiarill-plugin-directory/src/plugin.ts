/** Plug-in `directory`: provides the configured routes and the running targets. */
import * as Kernel from '@sequoiarill/kernel';
import type { Plugin, PluginContext, PluginInstance, RouterPeers } from '@sequoiarill/types';
import * as Zod from 'zod';

import * as DirectorySyncs from './directorySync';
import * as Events from './events';
import * as Metrics from './metrics';
import * as PeerClients from './peerClient';
import * as PeerHandlers from './peerHandlers';
import * as PeerServers from './peerServer';
import * as Registrations from './registration';
import type { RouterEntry } from './routerEntry';

/** Section `[directory]`. */
export const settingsSchema = Zod.strictObject({
  /** `IP:port` for other routers. */
  listen: Kernel.addressSchema,
  /** `IP:port` of some routers, for the time before the store has provided any. */
  seeds: Kernel.listSchema.default([]),
});

const { getNumber } = Kernel.Revisions;

export type DirectorySettings = Readonly<Zod.infer<typeof settingsSchema>>;

/**
 * Routers of the local zone come first: they respond fastest and remain reachable when the zone is cut off.
 */
function sortByDistance(
  routers: readonly RouterEntry[],
  zone: string,
  nextRandom: () => number,
): readonly string[] {
  return routers
    .map((router) => ({ router, rank: nextRandom() }))
    .map(({ router, rank }) => ({ router, rank: router.zone === zone ? rank : 1 + rank }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ router }) => router.address);
}

function createInstance(context: PluginContext, settings: DirectorySettings): PluginInstance {
  const { clock, logEvent, nextRandom } = context;
  const wire = context.getCapability('wire');
  const store = context.getCapability('keyValue');
  /** The bound address once the server has started: the operating system may assign the port. */
  let ownAddress = settings.listen;
  const client = PeerClients.createPeerClient(wire.headers, clock);
  const sync = DirectorySyncs.createDirectorySync({
    store,
    wire,
    clock,
    logEvent,
    nextRandom,
    zone: context.process.zone,
    getOwnAddress: () => ownAddress,
    seeds: settings.seeds,
    readRecords: client.readRecords,
    recordAge: (ageMs) => context.metrics.recordTiming(Metrics.CONFIRMATION_AGE, ageMs),
    recordFreshRead: (isAnswered) =>
      context.metrics.addCount(Metrics.FRESH_READS, 1, {
        outcome: isAnswered ? 'answered' : 'failed',
      }),
  });
  const { state, follower } = sync;
  const { handlers, setters } = PeerHandlers.createPeerHandlers();
  const server = PeerServers.createPeerServer(
    { state, follower, clock, ...handlers },
    settings.listen,
  );
  const ownKey = `${wire.ownPrefix}routers/${context.process.name}`;
  const stopKey = `${wire.ownPrefix}stopped/${context.process.name}`;
  let predecessor: Registrations.Predecessor = { isFound: true, stopRecord: undefined };
  let buildStopRecord = () => '';
  const stopping = new AbortController();
  let registerSelf: RouterPeers['registerSelf'] = () => undefined;
  const relayAddress = new Promise<string | undefined>((resolve) => {
    registerSelf = resolve;
  });
  let running: Promise<unknown> | undefined;

  const peers: RouterPeers = {
    ...setters,
    registerSelf,
    listNearest: () => {
      const others = state.listRouters().filter(({ address }) => address !== ownAddress);
      return sortByDistance(others, context.process.zone, nextRandom);
    },
    borrowRetryQuota: client.acquireRetryQuota,
    get self() {
      return ownAddress;
    },
    listRouters: state.listRouters,
    hasPredecessor: () => predecessor.isFound,
    getStopRecord: () => predecessor.stopRecord,
    setStopRecord(build) {
      buildStopRecord = build;
    },
    borrowPermits: client.acquirePermits,
    sendReport: client.sendReport,
    reportCrashes: client.reportCrashes,
    reportAnswers: client.reportAnswers,
    exchangeBlocks: client.exchangeBlocks,
    reportBrittle: client.reportBrittle,
    reportOrigins: client.reportOrigins,
    findOrigin: client.findOrigin,
    findContact: client.findContact,
    exchangeRoom: client.exchangeRoom,
    reportPartCrashes: client.reportPartCrashes,
    reportPartAnswers: client.reportPartAnswers,
    queryPart: client.queryPart,
    exchangePartBlocks: client.exchangePartBlocks,
  };

  async function runRegistration(): Promise<void> {
    const relay = await relayAddress;
    const entry = {
      address: ownAddress,
      zone: context.process.zone,
      ...(relay === undefined ? {} : { relayAddress: relay }),
    };
    await Registrations.runRegistration(
      {
        store,
        clock,
        key: ownKey,
        entry,
        getEra: state.getEra,
        stopKey,
        buildStopRecord: () => buildStopRecord(),
        reportPredecessor(found) {
          predecessor = found;
        },
      },
      stopping.signal,
    );
  }

  return {
    capabilities: {
      directory: {
        ...state,
        isUpToDate: sync.isUpToDate,
        getConfirmedAgeMs: follower.getAgeMs,
        verifySince: sync.verifySince,
      },
      peers,
    },
    async start() {
      ownAddress = await server.start();
      running = Promise.all([sync.run(stopping.signal), runRegistration()]);
    },
    async stop() {
      registerSelf(undefined);
      stopping.abort();
      await running;
      await Promise.all([server.stop(), client.close()]);
    },
    dumpState: () => ({
      isConnected: follower.isConnected(),
      era: state.getEra(),
      revision: getNumber(state.getRevision()),
      peers: sync.listPeers().length,
      reader: sync.chooseReader(),
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
