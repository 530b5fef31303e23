/** Plug-in `forwarding`: forwards callers' requests to targets and relays the answers. */
import * as Decisions from '@sequoiarill/decisions';
import type { Plugin, PluginContext, PluginInstance } from '@sequoiarill/types';

import * as CallOpeners from './callOpeners';
import type { ExchangeDependencies } from './front/replies';
import * as RateLimitedLogs from './rateLimitedLog';
import * as Drains from './front/drain';
import * as Events from './events';
import * as Exchanges from './front/exchange';
import type { ForwardRequest } from './forwardRequest';
import * as FailureEvents from './front/failureEvents';
import * as HeldEvents from './front/heldEvents';
import * as HttpFrontEnds from './front/httpFrontEnd';
import * as OpenExchanges from './front/openExchanges';
import * as PartEvents from './crashes/partEvents';
import * as PluginHandlers from './pluginHandlers';
import * as Parts from './pluginParts';
import * as RepeatEvents from './repeatEvents';
import * as RetryQuotas from './retryQuota';
import * as StopEvents from './front/stopEvents';
import * as RouteTables from './front/routeTable';
import type { RouteTable } from './front/routeTable';
import * as WaitingStreams from './streams/waitingStreams';
import * as PeerContacts from './targets/peerContacts';
import * as ServiceDecisions from './serviceDecisions';
import * as SilenceEvents from './targets/silenceEvents';
import { settingsSchema } from './settings';
import type { ForwardingSettings } from './settings';

const MS_PER_SECOND = 1_000;

function createInstance(context: PluginContext, settings: ForwardingSettings): PluginInstance {
  const { clock, logEvent, nextRandom } = context;
  const { zone } = context.process;
  const graceMs = settings.graceSeconds * MS_PER_SECOND;
  const wire = context.getCapability('wire');
  const directory = context.getCapability('directory');
  const peers = context.getCapability('peers');
  const rollouts = context.getCapability('rollouts');
  const room = context.getCapability('room');
  const log = RateLimitedLogs.createRateLimitedLog(logEvent, clock.getNowMs);
  const decisions = ServiceDecisions.createServiceDecisions(context, settings);
  const parts = Parts.createTargetParts(context, settings, log, decisions);
  const { connections, paths, registry, relays, notices, probes, crashes, limits, brittle } = parts;
  const origins = Parts.createOrigins(context, log);
  const contactOptions = { clock, nextRandom, zone, peers, paths, log };
  const peerContacts = PeerContacts.createPeerContacts(contactOptions);
  const stopController = new AbortController();
  let loops: Promise<unknown> | undefined;
  let routeTable: RouteTable | undefined;
  let configurationVersion: number | undefined;

  const frontEnd = HttpFrontEnds.createHttpFrontEnd({
    settings: HttpFrontEnds.resolveSettings(settings, context.process),
    handleRequest: (request, response) => Exchanges.handleExchange(dependencies, request, response),
    handleRelayed: (request, response) =>
      Exchanges.handleRelayedExchange(dependencies, request, response),
    isReady: () => routeTable !== undefined && !drain.isDraining(),
    logFailure: (request, error) => FailureEvents.logFailure(dependencies, request, error),
  });
  const exchanges = OpenExchanges.createOpenExchanges(() => drain.getStartedMs());
  const hasTimeFor = (request: ForwardRequest): boolean =>
    Exchanges.hasTimeFor(dependencies, drain, request);
  const waits = WaitingStreams.createWaitingStreams({ clock, hasTimeFor });
  const drain = Drains.createDrain({
    frontEnd,
    clock,
    graceMs,
    refuseWaiting: () => exchanges.refuseWaiting(dependencies),
    endRequests: () => exchanges.endAll(dependencies),
  });
  const dependencies: ExchangeDependencies = {
    zone,
    clock,
    nextRandom,
    wire,
    directory,
    peers,
    quota: RetryQuotas.createQuotaBorrower({ clock, log, peers }),
    rollouts,
    room,
    registry,
    paths,
    contacts: parts.contacts,
    peerContacts,
    relays,
    brittle,
    crashes,
    origins,
    limits,
    notices,
    chooser: Decisions.createTargetChooser({ nextRandom }),
    log,
    metrics: context.metrics,
    ...decisions,
    openCall: CallOpeners.createCallOpener(context, { ...parts, ...decisions }),
    readReport: probes.readReport,
    readCachedParts: probes.readCachedParts,
    ...parts.targetCalls,
    renewConnections: connections.closeIdle,
    getRouteTable: () => routeTable,
    isDraining: drain.isDraining,
    exchanges,
    logEvent,
    durations: Decisions.createAnswerDurations(),
    activity: Decisions.createRunActivity(),
    waits,
    heldBudget: parts.heldBudget,
    clientRetries: Decisions.createClientRetryDetector(),
  };

  PluginHandlers.registerHandlers(context, { ...parts, origins, waits });
  peers.setRetryQuotaLender((query) => RetryQuotas.grantRetryQuota(dependencies, query));

  function applyDirectory(): void {
    crashes.applyDirectory();
    const configuration = directory.getConfiguration();
    if (configuration === undefined) return;
    if (routeTable === undefined) logEvent(Events.READY, { version: configuration.version });
    if (configurationVersion !== configuration.version) {
      configurationVersion = configuration.version;
      routeTable = RouteTables.createRouteTable(configuration);
      paths.recordConfiguration();
      frontEnd.applyLimits(configuration.limits);
      waits.wakeAll();
    }
    PluginHandlers.removeMissing(parts, directory);
  }

  return {
    services: frontEnd.services,
    async start() {
      directory.subscribe(applyDirectory);
      applyDirectory();
      const { signal } = stopController;
      loops = Promise.all([crashes.run(signal), origins.run(signal)]);
      await frontEnd.start();
      peers.registerSelf(frontEnd.getAddresses().relayListen);
      logEvent(Events.LISTENING, frontEnd.getAddresses());
    },
    async drain() {
      logEvent(Events.DRAINING, { requests: frontEnd.countRequests(), graceMs });
      exchanges.recordDurations(dependencies);
      const drained = drain.drain();
      waits.wakeAll();
      const [result] = await Promise.all([drained, origins.handOver()]);
      logEvent(Events.DRAINED, result);
    },
    async stop() {
      stopController.abort();
      paths.stop();
      await Promise.all([loops, parts.heldBudget.stop()]);
      await frontEnd.stop();
      [connections, parts.routerConnections, log].forEach((one) => one.close());
    },
    dumpState: () => ({
      version: configurationVersion,
      requests: frontEnd.countRequests(),
      connections: frontEnd.countConnections(),
      targetConnections: connections.countOpen(),
      isDraining: drain.isDraining(),
      ...PluginHandlers.dumpParts({ ...parts, origins, decisions }),
    }),
  };
}

export const plugin: Plugin<ForwardingSettings> = {
  name: 'forwarding',
  settingsSchema,
  provides: [],
  needs: ['wire', 'directory', 'peers', 'rollouts', 'room', 'keyValue'],
  events: [
    ...Events.EVENTS,
    ...RepeatEvents.REPEAT_EVENTS,
    ...HeldEvents.HELD_EVENTS,
    ...SilenceEvents.SILENCE_EVENTS,
    ...FailureEvents.FAILURE_EVENTS,
    ...PartEvents.PART_EVENTS,
    ...StopEvents.STOP_EVENTS,
  ],
  createInstance,
};
