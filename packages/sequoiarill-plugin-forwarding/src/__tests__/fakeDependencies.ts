/** Fake dependencies: targets that follow a script in virtual time instead of real ones behind sockets. */
import * as Decisions from '@sequoiarill/decisions';
import * as Kernel from '@sequoiarill/kernel';
import type {
  Directory,
  EngineReport,
  ForwardingConfiguration,
  ForwardingTarget,
  CachedPromptParts,
  RouterLocation,
} from '@sequoiarill/types';

import type { RawHeader } from '../front/headers';
import type { ForwardingDependencies } from '../dependencies';
import type { TargetContact } from '../targets/contactCheck';
import * as PathMonitors from '../targets/pathMonitor';
import * as BrittleTargets from '../limits/brittleTargets';
import * as Relays from '../relay/relays';
import * as RetryQuotas from '../retryQuota';
import * as SharedProbes from '../targets/sharedProbe';
import * as TargetRegistries from '../targets/targetRegistry';
import type { TargetCall } from '../targets/targetCall';
import * as WaitingStreams from '../streams/waitingStreams';
import * as FakeCalls from './fakeCalls';
import * as FakeContacts from './fakeContacts';
import * as FakeRooms from './fakeRoom';
import type { FakeRoom } from './fakeRoom';
import { CONFIGURATION } from './fakeConfiguration';
import type { Script, SentCall } from './fakeCalls';

export { createEvents, createHead } from './fakeCalls';
export { createRequest, createRoute, createTarget } from './fakeRequests';
export type { Script, SentCall } from './fakeCalls';

const WIRE = Kernel.createFakeWire();
export const HEADER_NAMES = WIRE.headers;

export const IDLE_REPORT: EngineReport = {
  queued: 0,
  running: 0,
  prefilling: 0,
  runIds: [],
  usedTokens: 0,
  totalTokens: 100_000,
  isLeaving: false,
};

/** For tests of what does not depend on paths. */
export const UNUSED_PATHS = { recordHeard: () => undefined, recordLoss: () => undefined };
const PROBE_TIMEOUT_MS = 300;
const PROBE_ANSWER_TIMEOUT_MS = 1_000;

/** Duration of a copy of a KV cache. */
const COPY_MS = 100;

export interface FakeDependencies {
  readonly dependencies: ForwardingDependencies;
  readonly room: FakeRoom;
  readonly waits: WaitingStreams.WaitingStreams;
  readonly setConfiguration: (configuration: ForwardingConfiguration) => void;
  readonly clock: Kernel.FakeClock;
  readonly sentCalls: readonly SentCall[];
  readonly setTargets: (targets: readonly ForwardingTarget[]) => void;
  /** Load reports by engine; an engine without one does not respond. */
  readonly reports: Map<string, EngineReport>;
  /** Cached prompt parts by engine. */
  readonly cachedParts: Map<string, CachedPromptParts>;
  /** Delay of an engine's response to a query, milliseconds; 0 unless set. */
  readonly responseDelayMs: Map<string, number>;
  /** Unused retry quota of other routers. */
  readonly peerRetryQuota: Map<string, number>;
  /** Ids of targets whose rate limit allows no requests now. */
  readonly rateLimited: Set<string>;
  /** Ids of targets that do not answer probes. */
  readonly unreachable: Set<string>;
  /** Results of contact checks, by id; without one, only an engine with a report answers, unless it is `unreachable`. */
  readonly contacts: Map<string, TargetContact>;
  /** End of the pause of a target that accepts connections and answers no probe until then, monotonic milliseconds. */
  readonly pausedUntilMs: Map<string, number>;
  /** Services of which other routers hear targets, whenever they are asked. */
  readonly heardElsewhere: Set<string>;
  /** Other routers that take requests. */
  readonly otherRouters: RouterLocation[];
  /** Relay addresses of routers that are no longer reached. */
  readonly goneRouters: Set<string>;
  /** End of the rest that a target has asked for, by id; monotonic milliseconds. */
  readonly restsUntilMs: Map<string, number>;
  /** Commands to create and release copies. */
  readonly commands: readonly string[];
}

/** `chooseScript` returns the script for a call to a target with the given extra headers. */
export function createFakeDependencies(
  chooseScript: (target: string, headers: Readonly<Record<string, string>>) => Script,
  clock = Kernel.createFakeClock(),
): FakeDependencies {
  const room = FakeRooms.createFakeRoom();
  const waits = WaitingStreams.createWaitingStreams({ clock, hasTimeFor: () => room.hasTime });
  let configuration = CONFIGURATION;
  const sentCalls: SentCall[] = [];
  const reports = new Map<string, EngineReport>();
  const cachedParts = new Map<string, CachedPromptParts>();
  const responseDelayMs = new Map<string, number>();
  const peerRetryQuota = new Map<string, number>();
  const commands: string[] = [];
  const rateLimited = new Set<string>();
  const unreachable = new Set<string>();
  const contacts = new Map<string, TargetContact>();
  const pausedUntilMs = new Map<string, number>();
  const heardElsewhere = new Set<string>();
  const goneRouters = new Set<string>();
  const otherRouters: RouterLocation[] = [];
  const restsUntilMs = new Map<string, number>();
  let targets: readonly ForwardingTarget[] = [];
  let lastRandom = 0;
  /** Evenly distributed and the same in each run. */
  const nextRandom = () => {
    lastRandom = (lastRandom + 0.382) % 1;
    return lastRandom;
  };
  async function readResponse<Response>(
    { id }: ForwardingTarget,
    response: Response | undefined,
    timeoutMs: number,
  ): Promise<Response | undefined> {
    const tookMs = response === undefined ? timeoutMs : (responseDelayMs.get(id) ?? 0);
    if (tookMs > 0) await clock.waitMs(Math.min(tookMs, timeoutMs));
    return tookMs > timeoutMs ? undefined : response;
  }

  const isResting = ({ id }: ForwardingTarget) => (restsUntilMs.get(id) ?? 0) > clock.getNowMs();
  const log = { logEvent: () => undefined, close: () => undefined };
  const directory: Directory = {
    getConfiguration: () => configuration,
    listTargets: (service) => targets.filter((target) => target.service === service),
    findCurrent: (target) => targets.find(({ id }) => id === target.id),
    isUpToDate: () => true,
    getConfirmedAgeMs: () => 0,
    verifySince: async () => true,
    recordReplacement: () => undefined,
    recordLeaving: () => undefined,
    countRouters: () => 1,
    subscribe: () => () => undefined,
    listEntries: () => [],
    recordEntry: () => undefined,
  };
  const paths = PathMonitors.createPathMonitor({
    clock,
    nextRandom,
    directory,
    log,
    checkTarget: SharedProbes.createSharedProbe(clock, async ({ id }) => {
      if (unreachable.has(id)) {
        await clock.waitMs(PROBE_TIMEOUT_MS);
        return 'silent';
      }
      const leftMs = (pausedUntilMs.get(id) ?? 0) - clock.getNowMs();
      if (leftMs > 0) await clock.waitMs(Math.min(leftMs, PROBE_ANSWER_TIMEOUT_MS));
      return leftMs > PROBE_ANSWER_TIMEOUT_MS ? 'accepted' : 'answered';
    }),
    onHeard: ({ id }) => budget.settleHeld(clock.getNowMs(), id),
    onRegained: (service) => registry.removeLosses(directory.listTargets(service)),
  });
  const isReached = (id: string) => reports.has(id) && !unreachable.has(id);
  const getContact = (id: string) =>
    contacts.get(id) ?? (isReached(id) ? 'answers' : 'unreachable');
  const contactCheck = FakeContacts.createFakeContactCheck({ clock, getContact, isResting });
  function recordCall(target: string, extraHeaders: readonly RawHeader[]): TargetCall {
    const headers = Object.fromEntries(extraHeaders);
    const record = { target, headers, atMs: clock.getNowMs(), isCancelled: false };
    sentCalls.push(record);
    return FakeCalls.createCall(clock, record, chooseScript(target, headers));
  }

  const registry = TargetRegistries.createTargetRegistry(clock.getNowMs, paths);
  const relays = Relays.createRelays({
    clock,
    nextRandom,
    wire: WIRE,
    directory,
    paths,
    peers: { self: '', listRouters: () => otherRouters },
    openCall: (router, { headers }) => recordCall(router.address, headers),
    closeMissing: () => undefined,
    checkExit: async ({ address }) => (goneRouters.has(address) ? 'silent' : 'alive'),
  });
  const brittle = BrittleTargets.createBrittleTargets({
    clock,
    nextRandom,
    headers: HEADER_NAMES,
    log,
    peers: {
      self: '',
      listRouters: () => [{ address: '', zone: 'a' }, ...otherRouters],
      reportBrittle: async () => ({ kind: 'counted' }),
    },
    paths,
    isAvoided: relays.isAvoided,
  });
  const policy = Decisions.createStallPolicy();
  const budget = Decisions.createFleetRetryBudget({
    ratio: 1,
    slack: 150,
    windowMs: 10_000,
    countRouters: () => 1,
    startedMs: -10_000,
  });
  const estimates = [Decisions.createPromptEstimates(), Decisions.createRunEstimates()] as const;
  const admission = Decisions.createLatencyAdmission({ nextRandom });
  const peers: ForwardingDependencies['peers'] = {
    listNearest: () => [...peerRetryQuota.keys()],
    async borrowRetryQuota(peer, { repeats }) {
      const granted = Math.min(repeats, peerRetryQuota.get(peer) ?? 0);
      peerRetryQuota.set(peer, (peerRetryQuota.get(peer) ?? 0) - granted);
      return { kind: 'granted', repeats: granted };
    },
  };
  const dependencies: ForwardingDependencies = {
    zone: 'a',
    clock,
    nextRandom,
    wire: WIRE,
    directory,
    peers,
    quota: RetryQuotas.createQuotaBorrower({ clock, log, peers }),
    rollouts: {
      selectTargets: (all) => all,
      isLeaving: () => false,
      recordAttempt: () => () => undefined,
    },
    room: room.capability,
    activity: Decisions.createRunActivity(),
    waits,
    registry,
    paths,
    contacts: contactCheck,
    peerContacts: { isHeardElsewhere: async (service) => heardElsewhere.has(service) },
    relays,
    crashes: {
      findBlock: () => undefined,
      isHeld: () => false,
      waitForInquiry: async () => undefined,
      startRun: () => ({
        recordEvent: () => undefined,
        recordAnswer: () => undefined,
        recordHead: () => undefined,
        recordSurvived: () => undefined,
        isWithdrawn: () => false,
        end: () => undefined,
      }),
      recordAnswer: () => undefined,
      recordDisconnect: async () => undefined,
      hasExited: async () => false,
    },
    brittle,
    origins: {
      recordBegun: () => undefined,
      find: async ({ service }) => {
        const [{ version = '', models = '' } = {}] = directory.listTargets(service);
        return { kind: 'found', source: 'onlyBuild', origin: { service, version, models } };
      },
    },
    limits: {
      recordHead: () => undefined,
      isAvailable: ({ id }) => !rateLimited.has(id),
      acquirePermit: async () => false,
      getRetrySeconds: () => 1,
    },
    notices: {
      isResting,
      getRestMs: ({ id }) => Math.max(0, (restsUntilMs.get(id) ?? 0) - clock.getNowMs()),
    },
    chooser: Decisions.createTargetChooser({ nextRandom }),
    log,
    metrics: Kernel.createMetrics(undefined, {}),
    getAdmission: () => admission,
    getPromptEstimates: () => estimates[0],
    getRunEstimates: () => estimates[1],
    getBudget: () => budget,
    getStallPolicy: () => policy,
    openCall: (_request, target, { extraHeaders }) => recordCall(target.id, extraHeaders),
    readReport: (target, timeoutMs) => readResponse(target, reports.get(target.id), timeoutMs),
    readCachedParts: (target, timeoutMs) =>
      readResponse(target, cachedParts.get(target.id), timeoutMs),
    async createCopy(engine, _runId, holder) {
      commands.push(`${engine.id} to ${holder.id}`);
      await clock.waitMs(COPY_MS);
      return 'h1';
    },
    async releaseCopy(engine, handle) {
      commands.push(`${engine.id} frees ${handle}`);
    },
    renewConnections: () => undefined,
    isDraining: () => room.isStopping,
  };
  return {
    dependencies,
    room,
    waits,
    setConfiguration(next) {
      configuration = next;
    },
    clock,
    sentCalls,
    reports,
    cachedParts,
    responseDelayMs,
    peerRetryQuota,
    commands,
    rateLimited,
    unreachable,
    contacts,
    pausedUntilMs,
    heardElsewhere,
    otherRouters,
    goneRouters,
    restsUntilMs,
    setTargets(next) {
      targets = next;
    },
  };
}
