/** Plug-in `room`: decides who gets room at the engines of a service. */
import type { Plugin, PluginContext, PluginInstance } from '@sequoiarill/types';

import * as Completeness from './completeness';
import * as Dumps from './dump';
import * as Events from './events';
import * as Exchanges from './exchange';
import * as MessageHandlers from './messageHandler';
import * as Metrics from './metrics';
import * as RecentStreams from './recentStreams';
import * as RefusalLogs from './refusalLog';
import * as Rooms from './room';
import * as Services from './services';
import { settingsSchema } from './settings';
import type { RoomSettings } from './settings';

const ROUND_MS = 2_000;
/** Spreads the rounds of routers that start together. */
const START_SPREAD_MS = 400;
/** Peers refuse reports of a router that is not in their list; it is in its own about as soon. */
const MAX_REGISTRATION_WAIT_MS = 800;
const POLL_MS = 100;
/** Interval at which a process without active services looks for some, once it has started. */
const IDLE_POLL_MS = 1_000;
const STARTING_MS = 10_000;

export function createInstance(context: PluginContext, { mode }: RoomSettings): PluginInstance {
  const { clock, logEvent, metrics } = context;
  const { getNowMs } = clock;
  const { zone } = context.process;
  const peers = context.getCapability('peers');
  const sources = Rooms.createRoomSources();
  const recent = RecentStreams.createRecentStreams(getNowMs);
  const services = Services.createActiveServices({
    mode,
    expectsContention: context.getCapability('wire').expectsContention,
    directory: context.getCapability('directory'),
    getNowMs,
    logEvent,
    readRepeats: (service) => sources.readRepeats(service),
  });
  const exchange = Exchanges.createExchange({ zone, clock, peers, metrics });
  const log = RefusalLogs.createRefusalLog(logEvent, getNowMs);
  const refusals: RefusalLogs.RefusalLog = {
    recordRefusal(sender, reason) {
      metrics.addCount(Metrics.REFUSED);
      log.recordRefusal(sender, reason);
    },
  };
  const stopping = new AbortController();
  let running: Promise<void> | undefined;
  let lastRoundMs = getNowMs();

  peers.setRoomHandler(
    MessageHandlers.createMessageHandler({
      zone,
      peers,
      findState: services.findState,
      refusals,
      recordOutdated: () => metrics.addCount(Metrics.OUTDATED),
    }),
    refusals.recordRefusal,
  );

  function logDigestChanges(): void {
    for (const [service, state] of services.listStates()) {
      const change = state.own.hasTraffic() ? state.digests.takeChange(getNowMs()) : undefined;
      if (change === 'lost') logEvent(Events.DIGEST_LOST, { service });
      if (change === 'regained') logEvent(Events.DIGEST_REGAINED, { service });
    }
  }

  async function runRound(): Promise<void> {
    const states = services.listStates();
    const wasPaused = getNowMs() - lastRoundMs >= Completeness.LIFETIME_MS;
    lastRoundMs = getNowMs();
    if (wasPaused) for (const state of states.values()) state.removeCeased();
    await exchange.runRound(states);
    for (const state of states.values()) state.removeOld();
    logDigestChanges();
    Dumps.recordGauges(metrics, states, getNowMs());
  }

  function isReady(startedMs: number): boolean {
    if (services.listStates().size === 0) return false;
    if (getNowMs() - startedMs >= MAX_REGISTRATION_WAIT_MS) return true;
    return peers.listRouters().some(({ address }) => address === peers.self);
  }

  async function runRounds(signal: AbortSignal): Promise<void> {
    const startedMs = getNowMs();
    await clock.waitMs(context.nextRandom() * START_SPREAD_MS, signal);
    while (!signal.aborted) {
      const roundMs = getNowMs();
      const isIdle = services.listStates().size === 0 && roundMs - startedMs >= STARTING_MS;
      let intervalMs = isIdle ? IDLE_POLL_MS : POLL_MS;
      if (isReady(startedMs)) {
        await runRound();
        intervalMs = ROUND_MS;
      }
      await clock.waitMs(Math.max(0, roundMs + intervalMs - getNowMs()), signal);
    }
  }

  return {
    capabilities: { room: Rooms.createRoom(services, sources, recent) },
    async start() {
      running = runRounds(stopping.signal);
    },
    async stop() {
      stopping.abort();
      await Promise.all([exchange.sendLastReport(services.listStates()), running]);
    },
    dumpState: () => ({
      mode,
      ...Dumps.dumpRoom(services.listStates(), recent.listStreams(), getNowMs()),
      lines: sources.dumpLines(),
    }),
  };
}

export const plugin: Plugin<RoomSettings> = {
  name: 'room',
  settingsSchema,
  provides: ['room'],
  needs: ['wire', 'directory', 'peers'],
  events: Events.EVENTS,
  createInstance,
};
