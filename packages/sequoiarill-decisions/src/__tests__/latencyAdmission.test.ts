import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as LatencyAdmissions from '../latencyAdmission';
import type { LatencyAdmission } from '../latencyAdmission';
import * as Random from '../simulation/random';

const ROUTERS = 9;
const SLOTS = 6;
const QUEUE = 24;
const OBJECTIVE_MS = 386;
const WORK_MS = 86;
const LENGTH_MS = 60_000;

interface Caller {
  readonly firstAtMs: number;
  readonly isReturning: boolean;
}

interface Running extends Caller {
  readonly arrivedAtMs: number;
  readonly endsAtMs: number;
  readonly router: number;
}

interface Outcome {
  onTime: number;
  late: number;
  refused: number;
}

/**
 * One target of six slots with a queue, before which routers stand that see only their own requests.
 * Callers that were refused come back once. `load`: arriving work as a part of what the slots do.
 */
function playService(load: number, hasDoor: boolean, workFactor = 1): Outcome {
  const nextRandom = Random.createRandom(7);
  const doors: LatencyAdmission[] = Array.from({ length: ROUTERS }, () =>
    LatencyAdmissions.createLatencyAdmission({ nextRandom }),
  );
  const outcome: Outcome = { onTime: 0, late: 0, refused: 0 };
  const back: { readonly atMs: number; readonly caller: Caller }[] = [];
  let running: readonly Running[] = [];
  let queue: readonly Omit<Running, 'endsAtMs'>[] = [];
  const perMs = (load * SLOTS) / WORK_MS;

  function startNext(nowMs: number): void {
    while (running.length < SLOTS && queue.length > 0) {
      const [next, ...rest] = queue;
      queue = rest;
      if (next === undefined) return;
      const workMs = WORK_MS * workFactor * (0.4 + 1.2 * nextRandom());
      running = [...running, { ...next, endsAtMs: nowMs + workMs }];
    }
  }

  function refuse(caller: Caller, nowMs: number, seconds: number): void {
    if (caller.isReturning) outcome.refused += 1;
    else back.push({ atMs: nowMs + seconds * 1_000, caller: { ...caller, isReturning: true } });
  }

  function handleArrival(caller: Caller, nowMs: number): void {
    const router = Math.floor(nextRandom() * ROUTERS);
    const admission = doors[router] as LatencyAdmission;
    const { isReturning } = caller;
    const decision = admission.decide({
      slots: SLOTS,
      routers: ROUTERS,
      isClientRetry: isReturning,
    });
    if (hasDoor && decision.kind === 'refuse') {
      refuse(caller, nowMs, decision.retryAfterSeconds);
    } else if (queue.length >= QUEUE) {
      refuse(caller, nowMs, 0.3);
    } else {
      admission.recordStart();
      queue = [...queue, { ...caller, arrivedAtMs: nowMs, router }];
    }
  }

  function handleEnds(nowMs: number): void {
    for (const { router, arrivedAtMs, firstAtMs } of running.filter(
      ({ endsAtMs }) => endsAtMs <= nowMs,
    )) {
      const latencyMs = nowMs - arrivedAtMs;
      doors[router]?.recordEnd(nowMs, { latencyMs, objectiveMs: OBJECTIVE_MS });
      if (nowMs - firstAtMs <= OBJECTIVE_MS) outcome.onTime += 1;
      else outcome.late += 1;
    }
    running = running.filter(({ endsAtMs }) => endsAtMs > nowMs);
  }

  for (let nowMs = 0; nowMs < LENGTH_MS; nowMs += 1) {
    handleEnds(nowMs);
    for (const one of back.filter(({ atMs }) => Math.ceil(atMs) === nowMs)) {
      handleArrival(one.caller, nowMs);
    }
    const wave = 1 + 0.15 * Math.sin((2 * Math.PI * nowMs) / 11_000);
    if (nextRandom() < perMs * wave) handleArrival({ firstAtMs: nowMs, isReturning: false }, nowMs);
    startNext(nowMs);
  }
  return outcome;
}

/** An answer on time is worth one, a late one 0.3. */
function computeWorth({ onTime, late, refused }: Outcome): number {
  return (onTime + late * 0.3) / (onTime + late + refused);
}

describe('the door before a plain service', () => {
  it('keeps most answers on time when the last target runs at its capacity', () => {
    // Two of three targets of a service are taken away. The last one can just do the work, and in each
    // wave of it the queue fills: without a door most callers wait half a second, all served late.
    for (const load of [1.05, 1.15, 1.3]) {
      const without = computeWorth(playService(load, false));
      const withDoor = computeWorth(playService(load, true));
      expect(withDoor).toBeGreaterThan(without + 0.1);
    }
  });

  it('costs nothing below capacity', () => {
    for (const load of [0.6, 0.8, 0.9]) {
      const without = computeWorth(playService(load, false));
      const withDoor = computeWorth(playService(load, true));
      expect(withDoor).toBeGreaterThan(without - 0.01);
    }
  });

  it('refuses nothing while slots are free, also from a slow target', () => {
    // A target works four times as long. Its answers are late, and refusing would not make it faster.
    expect(playService(0.1, true, 4).refused).toEqual(0);
  });
});
