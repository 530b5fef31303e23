/** Plug-in `forwarding`: callers' requests to targets and back. */
import * as Decisions from '@sequoiarill/decisions';
import type { StallPolicy } from '@sequoiarill/decisions';
import type { ForwardingTarget, Plugin, PluginContext, PluginInstance } from '@sequoiarill/types';

import type { ExchangeDependencies } from './front/replies';
import * as BoundedLogs from './boundedLog';
import type { BoundedLog } from './boundedLog';
import * as CrashReports from './crashes/crashReports';
import type { CrashReports as CrashReportsState } from './crashes/crashReports';
import * as EndedChecks from './crashes/endedCheck';
import * as CopyCommands from './streams/copyCommands';
import * as Drains from './front/drain';
import * as EngineCalls from './targets/engineCalls';
import * as EngineProbes from './targets/engineProbes';
import * as Events from './events';
import * as Exchanges from './front/exchange';
import * as Fronts from './front/front';
import type { RawHeader } from './front/headers';
import * as TargetLimits from './limits/targetLimits';
import * as LazyGetters from './lazyGetter';
import * as RetryQuotas from './retryQuota';
import * as RouteTables from './front/routeTable';
import type { RouteTable } from './front/routeTable';
import { settingsSchema } from './settings';
import type { ForwardingSettings } from './settings';
import * as TargetRegistries from './targets/targetRegistry';
import * as TargetCalls from './targets/targetCall';
import * as TargetConnections from './targets/targetConnections';

const MS_PER_SECOND = 1_000;

/** What is decided for each service by itself. */
function createServiceDecisions(
  { clock, nextRandom }: PluginContext,
  settings: ForwardingSettings,
  countRouters: () => number,
): Pick<
  ExchangeDependencies,
  'getBudget' | 'getAdmission' | 'getPromptEstimates' | 'getStallPolicy'
> {
  const startedMs = clock.getNowMs();
  return {
    getBudget: LazyGetters.createLazyGetter(() =>
      Decisions.createFleetRetryBudget({
        ratio: settings.repeatRatio,
        slack: settings.repeatSlack,
        windowMs: settings.repeatWindowSeconds * MS_PER_SECOND,
        countRouters,
        startedMs,
      }),
    ),
    getAdmission: LazyGetters.createLazyGetter(() =>
      Decisions.createLatencyAdmission({ nextRandom }),
    ),
    getPromptEstimates: LazyGetters.createLazyGetter(Decisions.createPromptEstimates),
    getStallPolicy: LazyGetters.createLazyGetter<StallPolicy>(Decisions.createStallPolicy),
  };
}

function createCrashes(context: PluginContext, log: BoundedLog): CrashReportsState {
  const { clock, nextRandom } = context;
  return CrashReports.createCrashReports({
    clock,
    nextRandom,
    wire: context.getCapability('wire'),
    directory: context.getCapability('directory'),
    peers: context.getCapability('peers'),
    store: context.getCapability('keyValue'),
    log,
    checkEnded: EndedChecks.createEndedCheck(clock),
  });
}

/** Requests go out as the caller's, with what only this system may say of them. */
function createCallOpener(
  { clock, getCapability }: PluginContext,
  connections: TargetConnections.TargetConnections,
  recordSend: TargetLimits.TargetLimits['recordSend'],
): ExchangeDependencies['openCall'] {
  const { headers: names } = getCapability('wire');
  return (request, target, extraHeaders) => {
    const leftMs = Math.max(1, Math.floor(request.expiresAtMs - clock.getNowMs()));
    const replaced = new Set(extraHeaders.map(([name]) => name));
    const organisation: readonly RawHeader[] =
      request.organisation === undefined ? [] : [[names.organisation, request.organisation]];
    recordSend(target);
    return TargetCalls.openCall({
      connection: connections.takeConnection(target),
      target,
      method: request.method,
      path: request.path,
      body: request.body,
      headers: [
        ...request.headers.filter(([name]) => !replaced.has(name.toLowerCase())),
        [names.remainingMs, String(leftMs)],
        [names.expectedTarget, target.id],
        ...organisation,
        ...extraHeaders,
      ],
    });
  };
}

function createInstance(context: PluginContext, settings: ForwardingSettings): PluginInstance {
  const { clock, logEvent, nextRandom } = context;
  const wire = context.getCapability('wire');
  const directory = context.getCapability('directory');
  const peers = context.getCapability('peers');
  const rollouts = context.getCapability('rollouts');
  const log = BoundedLogs.createBoundedLog(logEvent, clock.getNowMs);
  const registry = TargetRegistries.createTargetRegistry(clock.getNowMs);
  const connections = TargetConnections.createTargetConnections();
  const callEngine = EngineCalls.createEngineCaller(clock, connections);
  const copyOrders = CopyCommands.createCopyCommands(wire, callEngine);
  const probes = EngineProbes.createEngineProbes({
    wire,
    clock,
    registry,
    callEngine,
    directory,
  });
  const crashes = createCrashes(context, log);
  const limits = TargetLimits.createTargetLimits({
    clock,
    nextRandom,
    headers: wire.headers,
    log,
    peers,
  });
  const stopping = new AbortController();
  let running: Promise<void> | undefined;
  let table: RouteTable | undefined;
  let version: number | undefined;

  const front = Fronts.createFront({
    settings,
    handleRequest: (request, response) => Exchanges.handleExchange(dependencies, request, response),
    isReady: () => table !== undefined && !drain.isDraining(),
  });
  const drain = Drains.createDrain({
    front,
    clock,
    graceMs: settings.graceSeconds * MS_PER_SECOND,
  });
  const dependencies: ExchangeDependencies = {
    zone: context.process.zone,
    clock,
    nextRandom,
    wire,
    directory,
    peers,
    rollouts,
    registry,
    crashes,
    limits,
    chooser: Decisions.createTargetChooser({ nextRandom }),
    log,
    metrics: context.metrics,
    ...createServiceDecisions(context, settings, directory.countRouters),
    openCall: createCallOpener(context, connections, limits.recordSend),
    readReport: probes.readReport,
    readCachedParts: probes.readCachedParts,
    ...copyOrders,
    renewConnections: connections.closeIdle,
    getRouteTable: () => table,
    isDraining: drain.isDraining,
    hasTimeFor: drain.hasTimeFor,
    durations: Decisions.createAnswerDurations(),
    clientRetries: Decisions.createClientRetryDetector(),
  };

  rollouts.setInFlightReader(registry.getInFlight);
  peers.setCrashHandlers(crashes.handlers);
  peers.setPermitsLender(limits.lendPermits);
  peers.setRetryQuotaLender((loan) => RetryQuotas.lendRepeats(dependencies, loan));

  function isCurrent(target: ForwardingTarget): boolean {
    return directory.findCurrent(target) !== undefined;
  }

  function applyDirectory(): void {
    crashes.applyDirectory();
    const configuration = directory.getConfiguration();
    if (configuration === undefined) return;
    if (table === undefined) logEvent(Events.READY, { version: configuration.version });
    if (version !== configuration.version) {
      version = configuration.version;
      table = RouteTables.createRouteTable(configuration);
      front.applyLimits(configuration.limits);
    }
    connections.removeMissing(isCurrent);
    registry.removeMissing(isCurrent);
    probes.removeMissing(isCurrent);
    limits.removeOld();
  }

  return {
    services: [front.service],
    async start() {
      directory.subscribe(applyDirectory);
      applyDirectory();
      running = crashes.run(stopping.signal);
      await front.start();
      logEvent(Events.LISTENING, front.getAddresses());
    },
    async drain() {
      logEvent(Events.DRAINING, {
        requests: front.countRequests(),
        graceMs: settings.graceSeconds * MS_PER_SECOND,
      });
      const waitedMs = await drain.drain();
      logEvent(Events.DRAINED, { requests: front.countRequests(), waitedMs });
    },
    async stop() {
      stopping.abort();
      await running;
      await front.stop();
      connections.close();
      log.close();
    },
    dumpState: () => ({
      version,
      requests: front.countRequests(),
      connections: front.countConnections(),
      targetConnections: connections.countOpen(),
      isDraining: drain.isDraining(),
      crashes: crashes.dumpState(),
      limitedTargets: limits.dumpState(),
    }),
  };
}

export const plugin: Plugin<ForwardingSettings> = {
  name: 'forwarding',
  settingsSchema,
  provides: [],
  needs: ['wire', 'directory', 'peers', 'rollouts', 'keyValue'],
  events: Events.EVENTS,
  createInstance,
};
