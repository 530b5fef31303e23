import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Windows from '../windows';
import type { Arrival } from '../windows';

const RULE = { ratio: 0.5, slack: 2, windowMs: 1_000 };

function createArrival(requestId: string, atMs: number, target = 'a'): Arrival {
  return { requestId, target, atMs, limitMs: 1_000 };
}

describe('arrivals at targets against the rule of a fleet', () => {
  it('are repeats beyond the first of each request, at their own times', () => {
    const arrivals = [
      createArrival('r2', 40),
      createArrival('r1', 30),
      createArrival('r1', 10),
      createArrival('r1', 20),
    ];
    expect(Windows.listRepeatTimes(arrivals)).toEqual([20, 30]);
  });

  it('are compared with the window that has most requests of the three', () => {
    const repeats = [2_000, 2_100, 2_200, 2_300];
    const early = [100, 150, 200, 250];
    expect(Windows.computeWorstWindow([], repeats, RULE)).toEqual(2);
    expect(Windows.computeWorstWindow(early, repeats, RULE)).toEqual(2);
    const before = early.map((atMs) => atMs + 1_200);
    expect(Windows.computeWorstWindow(before, repeats, RULE)).toEqual(1);
    const first = [2_000, 2_100, 2_200, 2_300];
    expect(Windows.computeWorstWindow(first, repeats, RULE)).toEqual(1);
  });

  it('go beyond what the route allows by targets and by time', () => {
    const arrivals = ['a', 'b', 'a', 'c'].map((target) => createArrival('r1', 600, target));
    expect(Windows.countTargets(arrivals)).toEqual([3]);
    expect(Windows.countBeyondTargets(arrivals, 3)).toEqual(0);
    expect(Windows.countBeyondTargets(arrivals, 2)).toEqual(1);
    const sent = [{ id: 'r1', atMs: 0 }];
    expect(Windows.countBeyondTime(arrivals, sent, 1_000)).toEqual(4);
    expect(Windows.countBeyondTime(arrivals, sent, 1_100)).toEqual(0);
  });

  it('are late and too long where their time ends after that of the first one and of the caller', () => {
    const sent = [{ id: 'r1', atMs: 0 }];
    const first = createArrival('r1', 10);
    const countLate = (atMs: number, limitMs: number) =>
      Windows.countLateLimits([first, { ...first, atMs, limitMs }], sent, 1_000);
    expect(countLate(500, 1_500)).toEqual({ late: 0, tooLong: 0 });
    expect(countLate(700, 800)).toEqual({ late: 1, tooLong: 0 });
    expect(countLate(700, 820)).toEqual({ late: 1, tooLong: 1 });
  });

  it('are compared with what routers have counted last', () => {
    const counts = [
      { router: 1, atMs: 100, repeats: 2 },
      { router: 2, atMs: 200, repeats: 3 },
      { router: 1, atMs: 300, repeats: 1 },
      { router: 1, atMs: 1_400, repeats: 4 },
    ];
    expect(Windows.computeMostCounted(counts, 1_000)).toEqual(5);
    expect(Windows.computeMostRepeats([100, 200, 1_150, 1_300], 1_000)).toEqual(2);
  });
});
