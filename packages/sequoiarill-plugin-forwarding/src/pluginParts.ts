/** Creates the parts of the plug-in from its context. */
import * as Decisions from '@sequoiarill/decisions';
import type { PluginContext } from '@sequoiarill/types';

import * as CallOpeners from './callOpeners';
import * as CrashGuards from './crashes/crashGuard';
import type { CrashGuard } from './crashes/crashGuard';
import * as ExitChecks from './crashes/exitCheck';
import * as HeldBudgets from './front/heldBudget';
import type { HeldBudget } from './front/heldBudget';
import * as Events from './events';
import * as BrittleTargets from './limits/brittleTargets';
import * as TargetLimits from './limits/targetLimits';
import type { RateLimitedLog } from './rateLimitedLog';
import * as BuildEntries from './origins/buildEntries';
import * as OriginMemories from './origins/originMemory';
import * as OriginReports from './origins/originReports';
import * as ServiceBuilds from './origins/serviceBuilds';
import * as StoredStreamReaders from './origins/storedStreamReader';
import * as StoredStreamWriters from './origins/storedStreamWriter';
import * as StreamOrigins from './origins/streamOrigins';
import type { StreamOrigins as StreamOriginsState } from './origins/streamOrigins';
import * as Relays from './relay/relays';
import type { Relays as RelaysState } from './relay/relays';
import type { ServiceDecisions } from './serviceDecisions';
import type { ForwardingSettings } from './settings';
import * as CopyCommands from './streams/copyCommands';
import * as ContactChecks from './targets/contactCheck';
import * as EngineCalls from './targets/engineCalls';
import * as EngineProbes from './targets/engineProbes';
import * as IdentityProbes from './targets/identityProbe';
import * as PathMonitors from './targets/pathMonitor';
import type { PathMonitor } from './targets/pathMonitor';
import * as TargetConnections from './targets/targetConnections';
import * as TargetNotices from './targets/targetNotices';
import * as SharedProbes from './targets/sharedProbe';
import * as TargetProbes from './targets/targetProbe';
import * as TargetRegistries from './targets/targetRegistry';

/** An answer without framing waits so long for a target that does not respond. */
const END_CHECK_TIMEOUT_MS = 150;
/** Covers a connection between zones, and the answer of a busy target to a status request. */
const END_CONTACT_TIMEOUTS = { connectMs: 300, answerMs: 500 };
/** The listener of a killed process closes within a few milliseconds after its connections. */
const END_HOLD_MS = 15;

function createCrashGuard(
  context: PluginContext,
  log: RateLimitedLog,
  evidence: Pick<
    CrashGuards.CrashGuardOptions,
    'checkAnswer' | 'checkOthers' | 'isBrittle' | 'readContact' | 'readIdentity'
  >,
): CrashGuard {
  const { clock, nextRandom } = context;
  return CrashGuards.createCrashGuard({
    clock,
    nextRandom,
    wire: context.getCapability('wire'),
    directory: context.getCapability('directory'),
    peers: context.getCapability('peers'),
    store: context.getCapability('keyValue'),
    log,
    metrics: context.metrics,
    checkExit: ExitChecks.createExitCheck(clock),
    checkEnd: ExitChecks.createExitCheck(clock, END_CHECK_TIMEOUT_MS, END_HOLD_MS),
    ...evidence,
  });
}

function createNotices(
  { clock, nextRandom, metrics, getCapability }: PluginContext,
  log: RateLimitedLog,
  listeners: Pick<TargetNotices.TargetNoticesOptions, 'paths' | 'brittle'>,
): TargetNotices.TargetNotices {
  const { headers } = getCapability('wire');
  const directory = getCapability('directory');
  return TargetNotices.createTargetNotices({
    ...listeners,
    headers,
    directory,
    clock,
    nextRandom,
    log,
    metrics,
  });
}

function createPaths(
  { clock, nextRandom, getCapability }: PluginContext,
  checkAnswer: TargetProbes.TargetProbe,
  listeners: Pick<PathMonitors.PathMonitorOptions, 'log' | 'onHeard' | 'onRegained'>,
): PathMonitor {
  const directory = getCapability('directory');
  return PathMonitors.createPathMonitor({
    clock,
    nextRandom,
    directory,
    checkTarget: SharedProbes.createSharedProbe(clock, checkAnswer),
    ...listeners,
  });
}

/** A router that is reached answers within a few milliseconds, also where its VM is busy. */
const ROUTER_CHECK_TIMEOUT_MS = 150;

function createRelays(
  context: PluginContext,
  paths: PathMonitor,
  connections: TargetConnections.TargetConnections,
  getBudget: CallOpeners.RepeatCounting['getBudget'],
): RelaysState {
  const { clock, nextRandom, getCapability } = context;
  const wire = getCapability('wire');
  return Relays.createRelays({
    clock,
    nextRandom,
    wire,
    peers: getCapability('peers'),
    directory: getCapability('directory'),
    paths,
    openCall: (router, terms, request) =>
      CallOpeners.openHop(
        connections,
        { clock, getBudget, names: wire.headers },
        router,
        terms,
        request,
      ),
    closeMissing: (addresses) => connections.removeMissing(({ id }) => addresses.has(id)),
    checkExit: ExitChecks.createExitCheck(clock, ROUTER_CHECK_TIMEOUT_MS),
  });
}

export function createOrigins(context: PluginContext, log: RateLimitedLog): StreamOriginsState {
  const { clock, nextRandom, getCapability } = context;
  const [directory, peers] = [getCapability('directory'), getCapability('peers')];
  const [wire, store] = [getCapability('wire'), getCapability('keyValue')];
  const entries = BuildEntries.createBuildEntries({ directory, wire, store });
  const builds = ServiceBuilds.createServiceBuilds({ clock, directory, peers, entries });
  return StreamOrigins.createStreamOrigins({
    clock,
    directory,
    peers,
    log,
    memory: OriginMemories.createOriginMemory(clock),
    reports: OriginReports.createOriginReports({
      clock,
      peers,
      logFailure: (peer, reason) => log.logEvent(Events.ORIGIN_NOT_REPORTED, { peer, reason }),
    }),
    builds,
    storedStreams: StoredStreamReaders.createStoredStreamReader({ clock, wire, peers, store }),
    streamWriter: StoredStreamWriters.createStoredStreamWriter({
      clock,
      wire,
      directory,
      peers,
      store,
      nextRandom,
      hasSeveralBuilds: (service) => builds.findOnlyOrigin([service]) === undefined,
    }),
  });
}

function createHeldBudget(
  { clock, metrics, process }: PluginContext,
  { heldMegabytes }: ForwardingSettings,
  log: RateLimitedLog,
): HeldBudget {
  const limitBytes = Decisions.computeHeldLimit(heldMegabytes, process.memoryMb);
  return HeldBudgets.createHeldBudget({ limitBytes, clock, log, metrics });
}

/** Everything that knows, asks and calls targets and the routers that may stand in for them. */
export function createTargetParts(
  context: PluginContext,
  settings: ForwardingSettings,
  log: RateLimitedLog,
  { getBudget }: Pick<ServiceDecisions, 'getBudget'>,
) {
  const { clock, nextRandom, getCapability } = context;
  const wire = getCapability('wire');
  const directory = getCapability('directory');
  const connections = TargetConnections.createTargetConnections(clock);
  const routerConnections = TargetConnections.createTargetConnections(clock);
  const probeOptions: TargetProbes.TargetProbeOptions = {
    clock,
    wire,
    directory,
    connections,
    notices: {
      recordHead: (target, head) => notices.recordHead(target, head),
      recordStart: (target) => paths.recordStart(target),
    },
  };
  const checkAnswer = TargetProbes.createTargetProbe(probeOptions);
  const paths = createPaths(context, checkAnswer, {
    log,
    onHeard: ({ id, service }) => getBudget(service).settleHeld(clock.getNowMs(), id),
    onRegained: removeOldLosses,
  });
  const registry = TargetRegistries.createTargetRegistry(clock.getNowMs, paths);
  const notices = createNotices(context, log, {
    paths,
    brittle: { recordHead: (service, head) => brittle.recordHead(service, head) },
  });
  const relays = createRelays(context, paths, routerConnections, getBudget);
  const brittle = BrittleTargets.createBrittleTargets({
    clock,
    nextRandom,
    headers: wire.headers,
    log,
    peers: getCapability('peers'),
    paths,
    isAvoided: relays.isAvoided,
  });
  const callEngine = EngineCalls.createEngineCaller(clock, connections, notices, wire.headers);

  /** Open connections from the time of a lost path may carry nothing any more. */
  function removeOldLosses(service: string): void {
    const targets = directory.listTargets(service);
    registry.removeLosses(targets);
    targets.forEach(connections.closeIdle);
  }

  return {
    connections,
    routerConnections,
    paths,
    contacts: ContactChecks.createContactCheck({
      clock,
      readContact: TargetProbes.createContactProbe(probeOptions, ContactChecks.CONTACT_TIMEOUTS),
      checkExit: ExitChecks.createExitCheck(clock, ContactChecks.CONNECTION_TIMEOUT_MS),
      notices,
    }),
    registry,
    notices,
    relays,
    brittle,
    heldBudget: createHeldBudget(context, settings, log),
    targetCalls: {
      ...CopyCommands.createCopyCommands(wire, callEngine),
      checkExit: ExitChecks.createExitCheck(clock),
    },
    crashes: createCrashGuard(context, log, {
      checkAnswer,
      checkOthers: paths.checkOthers,
      isBrittle: brittle.isBrittle,
      // Clock time, after which all that arrived during a pause is still read.
      readContact: TargetProbes.createContactProbe(
        { ...probeOptions, clock: { getNowMs: clock.getNowMs, getRunningMs: clock.getNowMs } },
        END_CONTACT_TIMEOUTS,
      ),
      readIdentity: IdentityProbes.createIdentityProbe({
        ...probeOptions,
        headers: wire.headers,
      }),
    }),
    probes: EngineProbes.createEngineProbes({
      wire,
      clock,
      registry,
      callEngine,
      directory,
      notices,
    }),
    limits: TargetLimits.createTargetLimits({
      clock,
      nextRandom,
      headers: wire.headers,
      log,
      peers: getCapability('peers'),
    }),
  };
}

export type TargetParts = ReturnType<typeof createTargetParts>;
