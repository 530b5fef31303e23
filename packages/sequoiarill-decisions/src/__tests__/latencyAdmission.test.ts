import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as LatencyAdmissions from '../latencyAdmission';
import type { LatencyAdmission } from '../latencyAdmission';
import * as Random from '../simulation/random';

const ROUTERS = 9;
const SLOTS = 6;
const QUEUE_LENGTH = 24;
const OBJECTIVE_MS = 386;
const WORK_MS = 86;
const DURATION_MS = 60_000;

interface Caller {
  readonly firstAtMs: number;
  readonly isRetry: boolean;
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
 * Simulates one target with six slots and a queue, behind routers that see only their own requests.
 * Refused callers retry once. `load`: arriving work as a fraction of the capacity of the slots.
 */
function simulateService(load: number, hasAdmission: boolean, workFactor = 1): Outcome {
  const nextRandom = Random.createRandom(7);
  const admissions: LatencyAdmission[] = Array.from({ length: ROUTERS }, () =>
    LatencyAdmissions.createLatencyAdmission({ nextRandom }),
  );
  const outcome: Outcome = { onTime: 0, late: 0, refused: 0 };
  const retries: { readonly atMs: number; readonly caller: Caller }[] = [];
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
    if (caller.isRetry) outcome.refused += 1;
    else retries.push({ atMs: nowMs + seconds * 1_000, caller: { ...caller, isRetry: true } });
  }

  function handleArrival(caller: Caller, nowMs: number): void {
    const router = Math.floor(nextRandom() * ROUTERS);
    const admission = admissions[router] as LatencyAdmission;
    const { isRetry: isClientRetry } = caller;
    const decision = admission.decide({
      slots: SLOTS,
      routers: ROUTERS,
      isClientRetry,
    });
    if (hasAdmission && decision.kind === 'refuse') {
      refuse(caller, nowMs, decision.retryAfterSeconds);
    } else if (queue.length >= QUEUE_LENGTH) {
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
      admissions[router]?.recordEnd(nowMs, { latencyMs, objectiveMs: OBJECTIVE_MS });
      if (nowMs - firstAtMs <= OBJECTIVE_MS) outcome.onTime += 1;
      else outcome.late += 1;
    }
    running = running.filter(({ endsAtMs }) => endsAtMs > nowMs);
  }

  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += 1) {
    handleEnds(nowMs);
    for (const one of retries.filter(({ atMs }) => Math.ceil(atMs) === nowMs)) {
      handleArrival(one.caller, nowMs);
    }
    const wave = 1 + 0.15 * Math.sin((2 * Math.PI * nowMs) / 11_000);
    if (nextRandom() < perMs * wave) handleArrival({ firstAtMs: nowMs, isRetry: false }, nowMs);
    startNext(nowMs);
  }
  return outcome;
}

/** Mean score of a request: 1 for an answer on time, 0.3 for a late one, 0 for a refusal. */
function computeScore({ onTime, late, refused }: Outcome): number {
  return (onTime + late * 0.3) / (onTime + late + refused);
}

describe('latencyAdmission', () => {
  it('keeps most answers on time when the last target runs at its capacity', () => {
    // Two of three targets of a service are removed. The last one barely has the capacity, and its queue
    // fills at each peak of the load: without admission control most answers take half a second and are late.
    for (const load of [1.05, 1.15, 1.3]) {
      const withoutAdmission = computeScore(simulateService(load, false));
      const withAdmission = computeScore(simulateService(load, true));
      expect(withAdmission).toBeGreaterThan(withoutAdmission + 0.1);
    }
  });

  it('does not lower the score below capacity', () => {
    for (const load of [0.6, 0.8, 0.9]) {
      const withoutAdmission = computeScore(simulateService(load, false));
      const withAdmission = computeScore(simulateService(load, true));
      expect(withAdmission).toBeGreaterThan(withoutAdmission - 0.01);
    }
  });

  it('refuses nothing while slots are free, even if the target is slow', () => {
    // A target takes four times as long. Its answers are late, but refusing requests doesn't make it faster.
    expect(simulateService(0.1, true, 4).refused).toEqual(0);
  });
});
