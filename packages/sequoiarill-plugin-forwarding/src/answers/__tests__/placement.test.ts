import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { ForwardRequest } from '../../forwardRequest';
import * as Placement from '../placement';

const REST_MS = 900;
const OBJECTIVE_MS = 6_000;
/** After the end of the rest: the wait is spread over callers by their deadlines. */
const MAX_END_MS = OBJECTIVE_MS / 2;

/** Waits for the rest of the only target, which leaves at the given time; returns the end of the wait. */
async function simulateWait(leavesAtMs: number): Promise<number> {
  let nowMs = 0;
  const target = {
    id: 'a1',
    service: 'orders',
    models: '',
    version: '1',
    state: 'ready',
    warmupLeftMs: 0,
  };
  const dependencies = {
    directory: { listTargets: () => (nowMs < leavesAtMs ? [target] : []) },
    rollouts: { selectTargets: (all: readonly unknown[]) => all },
    registry: { isSuspect: () => false },
    notices: { getRestMs: () => Math.max(0, REST_MS - nowMs), isResting: () => nowMs < REST_MS },
    limits: { isAvailable: () => true },
    clock: {
      getNowMs: () => nowMs,
      async waitMs(ms: number) {
        nowMs += ms;
      },
    },
  };
  const request = {
    service: 'orders',
    versionDraw: 0,
    route: { objectiveMs: OBJECTIVE_MS },
    expiresAtMs: OBJECTIVE_MS,
    closed: new AbortController().signal,
  } as unknown as ForwardRequest;
  expect(await Placement.waitForRest(dependencies as never, request, 0)).toEqual(true);
  return nowMs;
}

describe('the wait for targets that rest', () => {
  it('lasts until one of them takes requests again', async () => {
    const endMs = await simulateWait(Number.POSITIVE_INFINITY);
    expect(endMs >= REST_MS && endMs <= MAX_END_MS).toEqual(true);
  });

  it('ends soon after the last of them has left', async () => {
    // Guards against requests that are held for the rest of targets which no longer exist, and refused then.
    expect((await simulateWait(300)) < REST_MS / 2).toEqual(true);
  });
});
