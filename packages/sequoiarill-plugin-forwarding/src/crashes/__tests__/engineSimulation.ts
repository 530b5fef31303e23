/**
 * Simulates, in virtual time, engines that crash on parts of prompts or by chance, behind routers that count crashes,
 * and callers whose requests share parts.
 */
import type { ForwardingTarget } from '@sequoiarill/types';

import * as Fakes from '../../__tests__/fakeDependencies';
import type { ForwardRequest } from '../../forwardRequest';
import type { TargetRun } from '../targetRuns';
import type { RouterSimulation, SimulatedRouter } from './routerSimulation';
import * as Engines from './simulatedEngines';
import type { CrashBehaviour, SimulatedEngine } from './simulatedEngines';

export interface EngineSimulationOptions extends CrashBehaviour {
  readonly seed: number;
  readonly engines: number;
  /** Parts that crash engines. */
  readonly badParts: readonly string[];
  /** Requests a second with one of these parts. */
  readonly badPerSecond: number;
  readonly soundPerSecond: number;
  /** Time for which an engine holds a request before it begins to answer. */
  readonly holdMs: number;
  /** Time from the head of an answer to the crash. */
  readonly crashAfterMs: number;
  /** Crashes a second that no part causes. */
  readonly chancePerSecond: number;
  /** Time after the start from which requests with these parts come. */
  readonly badFromMs?: number;
  /** Parts of a request, apart from its last one; the part that crashes engines is undefined for sound ones. */
  readonly listParts: (
    bad: string | undefined,
    draw: () => number,
    nowMs: number,
  ) => readonly string[];
  readonly organisation?: (draw: () => number) => string;
  readonly restartMs?: number;
  /** Time from a crash until a router notices what it shows. */
  readonly noticeMs?: (draw: () => number) => number;
  /** Time after which callers of requests with such a part leave. */
  readonly leaveMs?: number;
  readonly answerMs?: number;
}

export interface SimulationResult {
  /** Crashes that a part caused. */
  readonly crashes: number;
  /** Sends of requests with such a part later than the detection time after the fifth crash. */
  readonly lateSends: number;
  /** Such requests that engines began to answer then. */
  readonly lateBegun: number;
  /** Share of the sound requests after that time whose first attempt began; 1 without any. */
  readonly soundBegun: number;
  readonly soundRefused: number;
  /** Blocked parts of which requests without a part that crashes engines are refused. */
  readonly wrongBlocks: readonly string[];
}

interface BrokenAttempt {
  readonly request: ForwardRequest;
  readonly target: ForwardingTarget;
  readonly firstEventMs: number | undefined;
}

const DETECTION_MS = 3_000;
/** Time after which a router gives up a run whose engine is silent. */
const GIVE_UP_MS = 1_500;
const EVENT_INTERVAL_MS = 200;
const MAX_ATTEMPTS = 3;
const RETRY_MS = 20;
const CRASH_COUNT = 5;
const MS_PER_SECOND = 1_000;

/** Draws evenly distributed numbers in [0, 1), the same for each seed. */
export function createDraw(seed: number): () => number {
  let state = (seed * 2_654_435_761 + 12_345) % 2_147_483_647;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

export function createEngineSimulation(
  simulation: Pick<RouterSimulation, 'clock' | 'routers' | 'setProbes' | 'applyDirectory'>,
  options: EngineSimulationOptions,
) {
  const { clock, routers } = simulation;
  const draw = createDraw(options.seed);
  const { crashWay = 'reset' } = options;
  const { holdMs, crashAfterMs, restartMs = 3_000, answerMs = 6_000 } = options;
  const engines = Engines.createEngines(options.engines);
  const badParts = new Set(options.badParts);
  let requestCount = 0;
  let crashes = 0;
  let fifthCrashMs = Number.POSITIVE_INFINITY;
  let lateSends = 0;
  let lateBegun = 0;
  let sound = 0;
  let soundBegun = 0;
  let soundRefused = 0;
  let isStopped = false;
  let listRouters: () => readonly SimulatedRouter[] = () => routers;

  const isLate = (): boolean => clock.getNowMs() > fifthCrashMs + DETECTION_MS;

  async function startAgain(engine: SimulatedEngine): Promise<void> {
    await clock.waitMs(restartMs);
    engine.life += 1;
    engine.isUp = true;
    simulation.applyDirectory();
  }

  simulation.setProbes(Engines.createEngineProbes(engines, options));

  function simulateCrash(engine: SimulatedEngine, isCaused: boolean): void {
    if (!engine.isUp) return;
    engine.isUp = false;
    if (isCaused) {
      crashes += 1;
      if (crashes === CRASH_COUNT) fifthCrashMs = clock.getNowMs();
    }
    const broken = [...engine.runs];
    engine.runs.clear();
    broken.forEach((breakRun) => breakRun());
    startAgain(engine).catch(() => undefined);
  }

  function startCrash(engine: SimulatedEngine, signal: AbortSignal): void {
    if (isLate()) lateBegun += 1;
    clock
      .waitMs(crashAfterMs)
      .then(() => signal.aborted || simulateCrash(engine, true))
      .catch(() => undefined);
  }

  /** One attempt at an engine; `broken` where the engine has crashed. */
  async function runAttempt(
    router: SimulatedRouter,
    request: ForwardRequest,
    engine: SimulatedEngine,
    isContinued: boolean,
    onBegun: () => void,
  ): Promise<{ readonly kind: 'answered' | 'broken' | 'ended'; readonly hasBegun: boolean }> {
    const target = Engines.createEngineTarget(engine);
    const broken = new AbortController();
    let isWithdrawn = false;
    const run: TargetRun = router.guard.startRun(request, target, () => {
      isWithdrawn = true;
      broken.abort();
    });
    const breakRun = () => broken.abort();
    engine.runs.add(breakRun);
    const crashing = request.promptParts.some(({ id }) => badParts.has(id));
    let firstEventMs: number | undefined;
    await clock.waitMs(holdMs, broken.signal);
    if (!broken.signal.aborted) {
      firstEventMs = clock.getNowMs();
      run.recordHead();
      onBegun();
      if (crashing) startCrash(engine, broken.signal);
    }
    const endMs = clock.getNowMs() + answerMs;
    while (!broken.signal.aborted && clock.getNowMs() < endMs) {
      run.recordEvent();
      await clock.waitMs(EVENT_INTERVAL_MS, broken.signal);
    }
    engine.runs.delete(breakRun);
    const hasBegun = firstEventMs !== undefined;
    if (!broken.signal.aborted) {
      if (!isContinued) run.recordAnswer();
      run.end();
      return { kind: 'answered', hasBegun };
    }
    const leaves = crashing && options.leaveMs !== undefined;
    if (isWithdrawn || leaves) {
      if (!isWithdrawn) await clock.waitMs(options.leaveMs ?? 0);
      run.end();
      return { kind: 'ended', hasBegun };
    }
    await recordBreak(router, { request, target, firstEventMs });
    run.end();
    return { kind: 'broken', hasBegun };
  }

  /** What the router notices of the crash. */
  async function recordBreak(
    { guard }: SimulatedRouter,
    { request, target, firstEventMs }: BrokenAttempt,
  ): Promise<void> {
    if (crashWay === 'silence') {
      await clock.waitMs(GIVE_UP_MS);
      return;
    }
    const brokenAtMs = clock.getNowMs();
    if (options.noticeMs !== undefined) await clock.waitMs(options.noticeMs(draw));
    const ranMs = firstEventMs === undefined ? undefined : brokenAtMs - firstEventMs;
    const hasHead = firstEventMs !== undefined;
    await guard.recordDisconnect({ request, target, hasHead, ranMs });
  }

  function createRequest(bad: string | undefined): ForwardRequest {
    requestCount += 1;
    const parts = [...options.listParts(bad, draw, clock.getNowMs()), `last${requestCount}`];
    return {
      ...Fakes.createRequest(Fakes.createRoute()),
      id: `r${requestCount}`,
      contentKey: requestCount.toString(16).padStart(16, '0'),
      organisation: options.organisation?.(draw) ?? 'shop',
      promptParts: parts.map((id) => ({ id, tokens: 100 })),
    };
  }

  function pickOne<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(draw() * items.length)];
  }

  async function runAttempts(
    router: SimulatedRouter,
    request: ForwardRequest,
    onSend: () => void,
    onFirstBegun: () => void,
  ): Promise<'refused' | 'ended'> {
    let isContinued = false;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      await router.guard.waitForInquiry(request);
      if (router.guard.findBlock(request) !== undefined) return 'refused';
      const engine = pickOne(engines.filter(({ isUp }) => isUp));
      if (engine === undefined) return 'ended';
      onSend();
      const onBegun = attempt === 0 ? onFirstBegun : () => undefined;
      const outcome = await runAttempt(router, request, engine, isContinued, onBegun);
      if (outcome.kind !== 'broken') return 'ended';
      isContinued = isContinued || outcome.hasBegun;
      await clock.waitMs(RETRY_MS);
    }
    return 'ended';
  }

  async function sendBad(bad: string | undefined, router = pickOne(listRouters())): Promise<void> {
    const countSend = () => {
      if (isLate()) lateSends += 1;
    };
    if (router === undefined) return;
    await runAttempts(router, createRequest(bad), countSend, () => undefined);
  }

  async function sendSound(): Promise<void> {
    const router = pickOne(listRouters());
    if (router === undefined) return;
    const isCounted = isLate();
    if (isCounted) sound += 1;
    const countBegun = () => {
      if (isCounted) soundBegun += 1;
    };
    const outcome = await runAttempts(
      router,
      createRequest(undefined),
      () => undefined,
      countBegun,
    );
    if (isCounted && outcome === 'refused') soundRefused += 1;
  }

  async function runSource(perSecond: number, act: () => void): Promise<void> {
    if (perSecond === 0) return;
    while (!isStopped) {
      await clock.waitMs((MS_PER_SECOND / perSecond) * (0.5 + draw()));
      if (!isStopped) act();
    }
  }

  function start(): void {
    const sources = [
      runSource(options.soundPerSecond, () => {
        sendSound().catch(() => undefined);
      }),
      runSource(options.badPerSecond, () => {
        if (clock.getNowMs() < (options.badFromMs ?? 0)) return;
        sendBad(pickOne(options.badParts)).catch(() => undefined);
      }),
      runSource(options.chancePerSecond, () => {
        const engine = pickOne(engines);
        if (engine !== undefined) simulateCrash(engine, false);
      }),
    ];
    Promise.all(sources).catch(() => undefined);
  }

  return {
    start,
    stop: () => {
      isStopped = true;
    },
    /** Sends one request with the part, through the given router or any. */
    sendBad,
    /** Replaces the routers that requests are sent to. */
    setRouters(list: () => readonly SimulatedRouter[]) {
      listRouters = list;
    },
    getResult(): SimulationResult {
      const blocks = listRouters().flatMap(({ parts }) => parts.handlers.handlePartBlocks([]));
      const wrong = blocks.filter(
        ({ part, others }) => ![part, ...others].some((one) => badParts.has(one)),
      );
      return {
        crashes,
        lateSends,
        lateBegun,
        soundBegun: sound === 0 ? 1 : soundBegun / sound,
        soundRefused,
        wrongBlocks: [...new Set(wrong.map(({ part }) => part))],
      };
    },
  };
}

/** Runs for the given time after the start. */
export async function runEngineSimulation(
  simulation: RouterSimulation,
  options: EngineSimulationOptions,
  durationMs: number,
): Promise<SimulationResult> {
  const engines = createEngineSimulation(simulation, options);
  engines.start();
  await simulation.clock.runFor(durationMs);
  engines.stop();
  return engines.getResult();
}
