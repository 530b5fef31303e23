/**
 * Sends requests with a part that crashes engines and sound ones, and counts what reaches engines long after the crashes
 * that should have been enough to find the part.
 */
import { performance } from 'node:perf_hooks';
import { setTimeout as startTimeout } from 'node:timers/promises';

import type { PartFleet, StreamResult } from './partFleet';

export interface Throttle {
  /** Routers run for so long, and then stand still for so long, by turns. */
  readonly runMs: number;
  readonly stopMs: number;
}

export interface PartPlayOptions {
  readonly badPart: string;
  /** Parts of which each request holds one. */
  readonly soundParts: readonly string[];
  readonly badPerSecond: number;
  readonly soundPerSecond: number;
  /** Tries of each request with the part, each with an id of its own. */
  readonly badTries: number;
  /** Time for which requests with the part are sent. */
  readonly badForMs: number;
  /** Time after which callers of such requests leave. */
  readonly leaveMs?: number;
  /** Routers that stand still from before the first such request, and get none. */
  readonly pausedRouters?: number;
  readonly throttle?: Throttle;
  /** Pause between two kills, each of the next router. */
  readonly killEveryMs?: number;
  /** In [0, 1). */
  readonly draw: () => number;
}

export interface PartPlayResult {
  readonly crashes: number;
  /** Requests with the part that engines read later than `DETECTION_MS` after the fifth crash. */
  readonly lateArrivals: number;
  /** Those that engines began to run then. */
  readonly lateBegun: number;
  /** Time from the fifth crash to the last run of such a request, milliseconds; 0 without five crashes. */
  readonly lastBegunMs: number;
  /** Sound requests that were sent after twice that time. */
  readonly lateSound: number;
  readonly lateSoundAnswered: number;
  /** Sound requests that were refused, of all. */
  readonly soundRefused: number;
}

/** Time after the fifth crash from which hardly any request with the part may reach an engine. */
export const DETECTION_MS = 3_000;
/** Requests with the part, new ones and repeats, that may still reach an engine then. */
export const MAX_LATE = 3;

const CRASH_COUNT = 5;
const FIRST_PART = 'first';
const MS_PER_SECOND = 1_000;
/** Sound requests alone, so that parts are answered and routers know engines. */
const LEAD_MS = 2_000;
const STATUS_OK = 200;
const STATUS_REFUSED = 503;

interface SoundResult {
  readonly sentAtMs: number;
  readonly result: StreamResult;
}

async function runThrottle(
  fleet: PartFleet,
  { runMs, stopMs }: Throttle,
  options: PartPlayOptions,
  signal: AbortSignal,
): Promise<void> {
  const throttleOne = async (index: number): Promise<void> => {
    const kill = (name: NodeJS.Signals) => fleet.listRouters()[index]?.process.kill(name);
    await startTimeout(options.draw() * (runMs + stopMs));
    while (!signal.aborted) {
      kill('SIGSTOP');
      await startTimeout(stopMs);
      kill('SIGCONT');
      await startTimeout(runMs);
    }
  };
  await Promise.all(fleet.listRouters().map((_router, index) => throttleOne(index)));
}

async function runKills(fleet: PartFleet, everyMs: number, signal: AbortSignal): Promise<void> {
  for (let index = 0; !signal.aborted; index = (index + 1) % fleet.listRouters().length) {
    await startTimeout(everyMs);
    if (!signal.aborted) await fleet.restartRouter(index);
  }
}

export async function runPartPlay(
  fleet: PartFleet,
  options: PartPlayOptions,
): Promise<PartPlayResult> {
  const { badPart, soundParts, draw, pausedRouters = 0, throttle, killEveryMs } = options;
  const routerCount = fleet.listRouters().length;
  const sound: SoundResult[] = [];
  const pending: Promise<unknown>[] = [];
  const stopping = new AbortController();
  let sent = 0;
  let mayUsePaused = true;

  function pickRouter(): number {
    const first = mayUsePaused ? 0 : pausedRouters;
    return first + Math.floor(draw() * (routerCount - first));
  }

  const pickPart = (): string => soundParts[Math.floor(draw() * soundParts.length)] ?? '';

  async function sendSound(): Promise<void> {
    sent += 1;
    const sentAtMs = performance.now();
    const parts = [FIRST_PART, pickPart()];
    const result = await fleet.sendStream({ id: `sound-${sent}`, parts, router: pickRouter() });
    sound.push({ sentAtMs, result });
  }

  async function sendBad(): Promise<void> {
    sent += 1;
    const id = `bad-${sent}`;
    const parts = [FIRST_PART, badPart, pickPart()];
    const leave = options.leaveMs === undefined ? {} : { leaveMs: options.leaveMs };
    for (let attempt = 1; attempt <= options.badTries; attempt += 1) {
      const stream = { id: `${id}-${attempt}`, parts, router: pickRouter(), ...leave };
      const { retryAfter } = await fleet.sendStream(stream);
      if (retryAfter !== undefined) return;
    }
  }

  async function runSource(perSecond: number, send: () => Promise<void>, untilMs: number) {
    while (performance.now() < untilMs) {
      await startTimeout((MS_PER_SECOND / perSecond) * (0.5 + draw()));
      pending.push(send());
    }
  }

  const startMs = performance.now();
  const endMs = startMs + LEAD_MS + options.badForMs;
  const soundSource = runSource(options.soundPerSecond, sendSound, endMs);
  await startTimeout(LEAD_MS);
  mayUsePaused = pausedRouters === 0;
  const paused = fleet.listRouters().slice(0, pausedRouters);
  paused.forEach(({ process: child }) => child.kill('SIGSTOP'));
  const disturbances = Promise.all([
    throttle === undefined ? undefined : runThrottle(fleet, throttle, options, stopping.signal),
    killEveryMs === undefined ? undefined : runKills(fleet, killEveryMs, stopping.signal),
  ]);
  await runSource(options.badPerSecond, sendBad, endMs);
  await soundSource;
  stopping.abort();
  await disturbances;
  paused.forEach(({ process: child }) => child.kill('SIGCONT'));
  await Promise.all(pending);

  const crashes = fleet.listCrashes();
  const fifthMs = crashes[CRASH_COUNT - 1] ?? Number.POSITIVE_INFINITY;
  const lateMs = fifthMs + DETECTION_MS;
  const runs = fleet.listRuns('bad-');
  const lateSound = sound.filter(({ sentAtMs }) => sentAtMs > lateMs + DETECTION_MS);
  const isAnswered = ({ result }: SoundResult): boolean => result.status === STATUS_OK;
  return {
    crashes: crashes.length,
    lateArrivals: fleet.listArrivals('bad-').filter(({ atMs }) => atMs > lateMs).length,
    lateBegun: runs.filter(({ startedAtMs }) => startedAtMs > lateMs).length,
    lastBegunMs: Math.round(
      Math.max(0, ...runs.map(({ startedAtMs }) => startedAtMs - Math.min(fifthMs, startedAtMs))),
    ),
    lateSound: lateSound.length,
    lateSoundAnswered: lateSound.filter(isAnswered).length,
    soundRefused: sound.filter(({ result }) => result.status === STATUS_REFUSED).length,
  };
}
