/** Targets that follow a script, in virtual time, in place of those behind sockets. */
import * as Decisions from '@sequoiarill/decisions';
import * as Kernel from '@sequoiarill/kernel';
import type {
  EngineReport,
  ForwardingConfiguration,
  ForwardingRoute,
  ForwardingTarget,
  CachedPromptParts,
} from '@sequoiarill/types';

import type { ForwardRequest } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import type { ForwardingDependencies } from '../dependencies';
import * as TargetRegistries from '../targets/targetRegistry';
import type { CallEvent, TargetCall } from '../targets/targetCall';

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

/** Time that a copy takes here, milliseconds. */
const COPY_MS = 100;

/** What one call does: events at times after it was sent; silence after the last of them. */
export type Script = readonly (readonly [afterMs: number, event: CallEvent])[];

export interface SentCall {
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly atMs: number;
  isCancelled: boolean;
}

export interface FakeDependencies {
  readonly dependencies: ForwardingDependencies;
  readonly clock: Kernel.FakeClock;
  readonly sentCalls: readonly SentCall[];
  readonly setTargets: (targets: readonly ForwardingTarget[]) => void;
  /** Reports of engines that answer; others are silent. */
  readonly reports: Map<string, EngineReport>;
  /** Parts of prompts that engines keep. */
  readonly cachedParts: Map<string, CachedPromptParts>;
  /** Milliseconds that an engine takes to answer a question; none unless set. */
  readonly responseDelayMs: Map<string, number>;
  /** What other routers have left of the repeats. */
  readonly peerRetryQuota: Map<string, number>;
  /** Targets that take no more for now. */
  readonly rateLimited: Set<string>;
  /** Copies that were ordered and freed. */
  readonly commands: readonly string[];
}

export function createTarget(id: string, change: Partial<ForwardingTarget> = {}): ForwardingTarget {
  return {
    id,
    startedAtUnixMs: 1,
    service: 'engines',
    version: 'v1',
    models: 'm 1',
    address: `10.0.0.1:${id}`,
    zone: 'a',
    slots: 8,
    state: 'ready',
    warmupLeftMs: 0,
    ...change,
  };
}

export function createRoute(change: Partial<ForwardingRoute> = {}): ForwardingRoute {
  return {
    name: 'advice',
    host: 'shop.example',
    pathPrefix: '/',
    retryPolicy: 'resumable',
    isStream: true,
    hasPrompt: true,
    isPublic: false,
    timeoutMs: 20_000,
    objectiveMs: 4_000,
    maxGapMs: 700,
    priority: 0,
    maxTargets: 5,
    shares: [{ service: 'engines', weight: 1 }],
    ...change,
  };
}

export function createRequest(route: ForwardingRoute): ForwardRequest {
  return {
    id: 'r1',
    method: 'POST',
    path: '/x',
    headers: [],
    body: Buffer.alloc(0),
    contentKey: 'c1',
    route,
    service: route.shares[0]?.service ?? '',
    arrivedAtMs: 0,
    expiresAtMs: route.timeoutMs,
    isClientRetry: false,
    promptTokens: 8_000,
    promptParts: [],
    versionDraw: 0.5,
    closed: new AbortController().signal,
  };
}

export function createHead(status: number, headers: Readonly<Record<string, string>> = {}) {
  const signed = { id: 'r1', signature: 's', 'transfer-encoding': 'chunked' };
  return {
    kind: 'head',
    head: { status, statusMessage: '', headers: { ...signed, ...headers } },
  } as const;
}

export function createEvents(from: number, to: number, everyMs: number, startMs = 0): Script {
  const numbers = Array.from({ length: to - from + 1 }, (_one, index) => from + index);
  return numbers.map((number, index) => [
    startMs + index * everyMs,
    { kind: 'data', chunk: Buffer.from(`id: ${number}\ndata: ${number}\n\n`) },
  ]);
}

const CONFIGURATION: ForwardingConfiguration = {
  version: 1,
  routes: [],
  services: new Map([
    [
      'engines',
      {
        name: 'engines',
        maxConnections: 100,
        healthPath: '/healthz',
        engine: {
          kvCacheTokens: 100_000,
          hasBackups: true,
          tokensPerEvent: 1,
          copyLifetimeMs: 4_000,
        },
      },
    ],
    ['orders', { name: 'orders', maxConnections: 100, healthPath: '/healthz' }],
  ]),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

/** A call whose script begins with a refused connection was never sent. */
function createCall(clock: Kernel.FakeClock, record: SentCall, script: Script): TargetCall {
  const sentAtMs = clock.getNowMs();
  const waiting = [...script];
  const first = script[0]?.[1];
  const isRefused = first?.kind === 'broken' && first.reason === 'ECONNREFUSED';
  return {
    wasSent: () => !isRefused,
    cancel() {
      record.isCancelled = true;
    },
    async readEvent(timeoutMs) {
      if (record.isCancelled) return { kind: 'cancelled' };
      const dueMs = (waiting[0]?.[0] ?? Number.POSITIVE_INFINITY) + sentAtMs - clock.getNowMs();
      if (dueMs > timeoutMs) {
        await clock.waitMs(Math.max(0, timeoutMs));
        return { kind: 'timeout' };
      }
      if (dueMs > 0) await clock.waitMs(dueMs);
      return waiting.shift()?.[1] ?? { kind: 'timeout' };
    },
  };
}

/** Each call takes the script that its target has for it, by the number of calls there before. */
export function createFakeDependencies(
  chooseScript: (target: string, headers: Readonly<Record<string, string>>) => Script,
): FakeDependencies {
  const clock = Kernel.createFakeClock();
  const sent: SentCall[] = [];
  const reports = new Map<string, EngineReport>();
  const kept = new Map<string, CachedPromptParts>();
  const answerMs = new Map<string, number>();
  const lenders = new Map<string, number>();
  const orders: string[] = [];
  const limited = new Set<string>();
  let targets: readonly ForwardingTarget[] = [];
  let drawn = 0;
  /** Evenly spread and the same each time. */
  const nextRandom = () => {
    drawn = (drawn + 0.382) % 1;
    return drawn;
  };
  async function readAnswer<Answer>(
    { id }: ForwardingTarget,
    answer: Answer | undefined,
    limitMs: number,
  ): Promise<Answer | undefined> {
    const tookMs = answer === undefined ? limitMs : (answerMs.get(id) ?? 0);
    if (tookMs > 0) await clock.waitMs(Math.min(tookMs, limitMs));
    return tookMs > limitMs ? undefined : answer;
  }

  const registry = TargetRegistries.createTargetRegistry(clock.getNowMs);
  const policy = Decisions.createStallPolicy();
  const budget = Decisions.createFleetRetryBudget({
    ratio: 1,
    slack: 150,
    windowMs: 10_000,
    countRouters: () => 1,
    startedMs: 0,
  });
  const promptEstimates = Decisions.createPromptEstimates();
  const admission = Decisions.createLatencyAdmission({ nextRandom });
  const dependencies: ForwardingDependencies = {
    zone: 'a',
    clock,
    nextRandom,
    wire: WIRE,
    directory: {
      getConfiguration: () => CONFIGURATION,
      listTargets: (service) => targets.filter((target) => target.service === service),
      findCurrent: (target) => targets.find(({ id }) => id === target.id),
      isUpToDate: () => true,
      recordReplacement: () => undefined,
      countRouters: () => 1,
      subscribe: () => () => undefined,
      listEntries: () => [],
      recordEntry: () => undefined,
    },
    peers: {
      listNearest: () => [...lenders.keys()],
      async borrowRetryQuota(peer, { repeats }) {
        const lent = Math.min(repeats, lenders.get(peer) ?? 0);
        lenders.set(peer, (lenders.get(peer) ?? 0) - lent);
        return { kind: 'lent', repeats: lent };
      },
    },
    rollouts: {
      selectTargets: (all) => all,
      isLeaving: () => false,
      recordSend: () => () => undefined,
    },
    registry,
    crashes: {
      getBlockedMs: () => 0,
      recordAnswer: () => undefined,
      recordDisconnect: async () => undefined,
    },
    limits: {
      recordHead: () => undefined,
      isAvailable: ({ id }) => !limited.has(id),
      acquirePermit: async () => false,
      getRetrySeconds: () => 1,
    },
    chooser: Decisions.createTargetChooser({ nextRandom }),
    log: { logEvent: () => undefined, close: () => undefined },
    metrics: Kernel.createMetrics(undefined, {}),
    getAdmission: () => admission,
    getPromptEstimates: () => promptEstimates,
    getBudget: () => budget,
    getStallPolicy: () => policy,
    openCall(_request, target, extraHeaders: readonly RawHeader[]) {
      const headers = Object.fromEntries(extraHeaders);
      const record = { target: target.id, headers, atMs: clock.getNowMs(), isCancelled: false };
      sent.push(record);
      return createCall(clock, record, chooseScript(target.id, headers));
    },
    readReport: (target, limitMs) => readAnswer(target, reports.get(target.id), limitMs),
    readCachedParts: (target, limitMs) => readAnswer(target, kept.get(target.id), limitMs),
    async createCopy(engine, _runId, holder) {
      orders.push(`${engine.id} to ${holder.id}`);
      await clock.waitMs(COPY_MS);
      return 'h1';
    },
    async releaseCopy(engine, handle) {
      orders.push(`${engine.id} frees ${handle}`);
    },
    renewConnections: () => undefined,
  };
  return {
    dependencies,
    clock,
    sentCalls: sent,
    reports,
    cachedParts: kept,
    responseDelayMs: answerMs,
    peerRetryQuota: lenders,
    commands: orders,
    rateLimited: limited,
    setTargets(next) {
      targets = next;
    },
  };
}
