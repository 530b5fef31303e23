/** Simulates routers before shared engines in virtual time, at loads above and below what the engines can run. */
import * as Decisions from '@sequoiarill/decisions';
import * as Kernel from '@sequoiarill/kernel';
import type { ForwardingRoute } from '@sequoiarill/types';

import type { ForwardingDependencies } from '../../dependencies';
import * as Fakes from '../../__tests__/fakeDependencies';
import * as StreamAnswers from '../streamAnswer';
import type { StreamOutcome } from '../streamPlan';
import * as Engines from './simulatedEngine';
import type { SimulatedEngine } from './simulatedEngine';

export interface RoomPlay {
  /** What engines run short of; where it is the cache, copies of runs take it as well. */
  readonly scarcity?: 'slots' | 'cache';
  /** Demand as a multiple of what the engines can run. */
  readonly load: number;
  readonly isOn: boolean;
  /** Factor on the demand of the least urgent route during the burst. */
  readonly burst?: number;
  /** Engines that are down during the burst. */
  readonly downEngines?: number;
}

/** Of one route; its callers' attempts count once. */
export interface RouteResult {
  readonly asked: number;
  readonly served: number;
  readonly inTime: number;
  readonly firstEventMs: number;
}

export interface RoomResult {
  readonly routes: readonly RouteResult[];
  readonly asked: number;
  readonly served: number;
  /** Part of the answers that the engines could complete, from the first full load to the last request. */
  readonly use: number;
  readonly sends: number;
  readonly cutShort: number;
}

const ROUTERS = 5;
const ENGINES = 12;

const ZONES = ['a', 'b', 'c'];
const PLAY_MS = 20_000;
const BURST_FROM_MS = 7_000;
const BURST_MS = 6_000;
const CALLER_LIMIT_MS = 25_000;
const USE_FROM_MS = 6_000;
const READ_MS = 2;
const REPORT_MS = 100;
const EXCHANGE_MS = 2_000;
const MS_PER_SECOND = 1_000;
const OBJECTIVES_MS = [4_000, 4_500, 5_000];
/** Slots, and runs that an engine has room for at a time. */
const SIZES = { slots: { slots: 6, runs: 6 }, cache: { slots: 24, runs: 4.9 } } as const;

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** Levels by priority, and shares by what all routers have recorded. */
function createFleetRoom(clock: Kernel.FakeClock, isOn: boolean): ForwardingDependencies['room'] {
  const [demand, served] = [Decisions.createWorkRates(), Decisions.createWorkRates()];
  const marker = Decisions.createShareMarker();
  let fractions: ReturnType<typeof Decisions.computeShareFractions> = new Map();
  let updatedAtMs = 0;

  function updateFractions(): void {
    const nowMs = clock.getNowMs();
    if (nowMs - updatedAtMs < EXCHANGE_MS) return;
    updatedAtMs = nowMs;
    const work = demand
      .listRates(nowMs)
      .map(({ organisation, rates }) => ({ organisation, demand: rates }));
    const capacity = served
      .listRates(nowMs)
      .flatMap(({ rates }) => rates)
      .reduce((sum, rate) => sum + rate, 0);
    fractions = Decisions.computeShareFractions(work, capacity);
  }

  return {
    isActive: () => isOn,
    getLevel: ({ route }) => (isOn ? route.priority : undefined),
    markStream({ organisation = '', level }) {
      updateFractions();
      const fraction = fractions.get(organisation)?.[level] ?? 1;
      return { level, isWithinShare: marker.markNext(`${organisation} ${level}`, fraction) };
    },
    recordDemand: ({ organisation = '', level, work }) =>
      demand.recordWork(organisation, level, work, clock.getNowMs()),
    recordServed: ({ organisation = '', level, work }) =>
      served.recordWork(organisation, level, work, clock.getNowMs()),
    recordGap: () => undefined,
    recordRunEnd: () => undefined,
    recordPrefill: () => undefined,
    getSpeedFactor: () => 1,
  };
}

interface Router {
  readonly dependencies: ForwardingDependencies;
}

function createRouter(
  clock: Kernel.FakeClock,
  engines: readonly SimulatedEngine[],
  room: ForwardingDependencies['room'],
  zone: string,
  recordSend: () => void,
): Router {
  const fake = Fakes.createFakeDependencies(() => [], clock);
  fake.setTargets(engines.map(({ target }) => target));
  const findEngine = ({ id }: { readonly id: string }) =>
    engines.find(({ target }) => target.id === id) as SimulatedEngine;
  const { registry } = fake.dependencies;
  return {
    dependencies: {
      ...fake.dependencies,
      zone,
      room,
      openCall(request, target, { extraHeaders }) {
        recordSend();
        return findEngine(target).openCall(request.id, Object.fromEntries(extraHeaders));
      },
      async readReport(target, timeoutMs) {
        const report = findEngine(target).readReport();
        await clock.waitMs(report === undefined ? timeoutMs : READ_MS);
        if (report === undefined) return undefined;
        registry.recordReport(target, report);
        registry.recordAlive(target);
        return report;
      },
    },
  };
}

export async function simulateRoom(play: RoomPlay, seed = 7): Promise<RoomResult> {
  const { slots, runs } = SIZES[play.scarcity ?? 'slots'];
  const capacityPerSecond = (ENGINES * runs * MS_PER_SECOND) / Engines.RUN_MS;
  const clock = Kernel.createFakeClock();
  const nextRandom = createRandom(seed);
  const engines: readonly SimulatedEngine[] = Array.from({ length: ENGINES }, (_one, index) => {
    const zone = ZONES[index % ZONES.length] as string;
    const target = Fakes.createTarget(`e${index}`, { zone, slots });
    return Engines.createSimulatedEngine(clock, target, (address) =>
      play.scarcity === 'cache'
        ? engines.find((engine) => engine.target.address === address)
        : undefined,
    );
  });
  let sends = 0;
  let cutShort = 0;
  let completed = 0;
  const room = createFleetRoom(clock, play.isOn);
  const routers = Array.from({ length: ROUTERS }, (_one, index) =>
    createRouter(clock, engines, room, ZONES[index % ZONES.length] as string, () => {
      sends += 1;
    }),
  );
  const routes = OBJECTIVES_MS.map((objectiveMs, priority) => ({
    route: Fakes.createRoute({ name: `p${priority}`, priority, objectiveMs }),
    asked: 0,
    served: 0,
    inTime: 0,
    firstEventMs: 0,
  }));
  let lastId = 0;

  interface Attempt {
    readonly outcome: StreamOutcome;
    readonly firstEventAtMs: number | undefined;
  }

  async function runAttempt(
    route: ForwardingRoute,
    expiresAtMs: number,
    isClientRetry: boolean,
  ): Promise<Attempt> {
    lastId += 1;
    const router = routers[Math.floor(nextRandom() * ROUTERS)] as Router;
    const request = {
      ...Fakes.createRequest(route),
      id: `r${lastId}`,
      outputTokens: Engines.EVENTS * 36,
      arrivedAtMs: clock.getNowMs(),
      expiresAtMs,
      isClientRetry,
    };
    const answer = StreamAnswers.runStreamAnswer(router.dependencies, request);
    let firstEventAtMs: number | undefined;
    for (;;) {
      const step = await answer.next();
      if (step.done === true) return { outcome: step.value, firstEventAtMs };
      firstEventAtMs ??= clock.getNowMs();
    }
  }

  async function runCaller(counts: (typeof routes)[number]): Promise<void> {
    const { route } = counts;
    const startedAtMs = clock.getNowMs();
    const expiresAtMs = startedAtMs + CALLER_LIMIT_MS;
    counts.asked += 1;
    let attempt = await runAttempt(route, expiresAtMs, false);
    if (attempt.outcome.kind === 'refused') {
      const leftMs = expiresAtMs - clock.getNowMs();
      const retryMs = (attempt.outcome.retryAfterSeconds ?? 0) * MS_PER_SECOND;
      await clock.waitMs(Math.min(retryMs, leftMs / 3));
      attempt = await runAttempt(route, expiresAtMs, true);
    }
    if (attempt.outcome.kind === 'broken') cutShort += 1;
    if (attempt.outcome.kind !== 'complete') return;
    const firstEventMs = (attempt.firstEventAtMs ?? Number.POSITIVE_INFINITY) - startedAtMs;
    counts.served += 1;
    if (clock.getNowMs() > USE_FROM_MS && clock.getNowMs() <= PLAY_MS) completed += 1;
    counts.firstEventMs += firstEventMs;
    if (firstEventMs <= route.objectiveMs) counts.inTime += 1;
  }

  function isBurst(): boolean {
    const sinceMs = clock.getNowMs() - BURST_FROM_MS;
    return sinceMs >= 0 && sinceMs < BURST_MS;
  }

  async function runCallers(counts: (typeof routes)[number]): Promise<void> {
    const perSecond = (play.load * capacityPerSecond) / routes.length;
    while (clock.getNowMs() < PLAY_MS) {
      const isLeastUrgent = counts === routes.at(-1);
      const factor = isLeastUrgent && isBurst() ? (play.burst ?? 1) : 1;
      await clock.waitMs((-Math.log(1 - nextRandom()) * MS_PER_SECOND) / (perSecond * factor));
      runCaller(counts).catch(() => undefined);
    }
  }

  async function runReports(): Promise<void> {
    while (clock.getNowMs() < PLAY_MS + CALLER_LIMIT_MS) {
      engines.forEach((engine) => engine.updateReport());
      await clock.waitMs(REPORT_MS);
    }
  }

  async function runOutage(): Promise<void> {
    const down = engines.slice(0, play.downEngines ?? 0);
    await clock.waitMs(BURST_FROM_MS);
    down.forEach((engine) => engine.setDown(true));
    await clock.waitMs(BURST_MS);
    down.forEach((engine) => engine.setDown(false));
  }

  const running = Promise.all([...routes.map(runCallers), runReports(), runOutage()]);
  await clock.runFor(PLAY_MS + CALLER_LIMIT_MS + 5_000);
  await running;
  const lostMs = ((play.downEngines ?? 0) / ENGINES) * BURST_MS;
  const possible = (capacityPerSecond * (PLAY_MS - USE_FROM_MS - lostMs)) / MS_PER_SECOND;
  return {
    routes: routes.map(({ asked: ofRoute, served, inTime, firstEventMs }) => ({
      asked: ofRoute,
      served: served / ofRoute,
      inTime: inTime / ofRoute,
      firstEventMs: firstEventMs / Math.max(1, served),
    })),
    asked: routes.reduce((sum, counts) => sum + counts.asked, 0),
    served: routes.reduce((sum, counts) => sum + counts.served, 0),
    use: completed / possible,
    sends,
    cutShort,
  };
}
