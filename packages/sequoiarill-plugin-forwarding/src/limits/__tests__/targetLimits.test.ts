import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as LimitSimulations from './limitSimulation';

/** Time until routers observe a new limit, and the span over which requests are counted. */
const SETTLING_MS = 3_000;
const SPAN_MS = 4_000;
const SIMULATED_MS = 20_000;
/** Maximum that users accept in a span: this multiple of the limit, plus this number of requests. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA_REQUESTS = 5;
/** Minimum share of the limit that must be used while demand exceeds it. */
const MIN_USED_SHARE = 0.75;

function computeMaxArrivals(perSecond: number): number {
  return (ALLOWED_FACTOR * perSecond * SPAN_MS) / 1_000 + ALLOWED_EXTRA_REQUESTS;
}

async function simulateLimit(simulation: LimitSimulations.LimitSimulation, perSecond: number) {
  await simulation.runFor(1_000);
  simulation.setLimit(perSecond);
  await simulation.runFor(SETTLING_MS);
  const sinceMs = simulation.getNowMs();
  await simulation.runFor(SIMULATED_MS);
  const usedShare = simulation.countArrivals(sinceMs) / ((perSecond * SIMULATED_MS) / 1_000);
  return { maxArrivals: simulation.countMaxArrivals(SPAN_MS, sinceMs), usedShare };
}

describe('a rate limit announced by a target', () => {
  for (const routers of [7, 80, 300]) {
    for (const perSecond of [0.4, 4.5, 60]) {
      it(`of ${perSecond} per second is observed and used by ${routers} routers`, async () => {
        // Guards against routers that each use the full limit, and against shares that remain unused.
        const simulation = LimitSimulations.createLimitSimulation({ routers, perSecond: 200 });
        const { maxArrivals, usedShare } = await simulateLimit(simulation, perSecond);
        expect(maxArrivals).toBeLessThan(computeMaxArrivals(perSecond) + 1);
        expect(usedShare).toBeGreaterThan(MIN_USED_SHARE);
      });
    }
  }

  it('is used when most requests arrive at one router', async () => {
    // Guards against unused shares of routers that receive no requests.
    const simulation = LimitSimulations.createLimitSimulation({
      routers: 7,
      perSecond: 60,
      firstShare: 0.9,
    });
    const { maxArrivals, usedShare } = await simulateLimit(simulation, 20);
    expect(maxArrivals).toBeLessThan(computeMaxArrivals(20) + 1);
    expect(usedShare).toBeGreaterThan(MIN_USED_SHARE);
  });

  it('is used by an isolated zone that contains the target', async () => {
    // Guards against shares that only routers outside the isolated zone may use.
    const simulation = LimitSimulations.createLimitSimulation({ routers: 9, perSecond: 60 });
    simulation.setLimit(4);
    await simulation.runFor(SETTLING_MS);
    simulation.isolateZone(1);
    const sinceMs = simulation.getNowMs();
    await simulation.runFor(SIMULATED_MS);
    expect(simulation.countMaxArrivals(SPAN_MS, sinceMs)).toBeLessThan(computeMaxArrivals(4) + 1);
    expect(simulation.countArrivals(sinceMs)).toBeGreaterThan(
      (MIN_USED_SHARE * 4 * SIMULATED_MS) / 1_000,
    );
  });

  for (const [routers, recoveryMs] of [
    [7, 3_000],
    [300, 10_000],
  ] as const) {
    it(`restricts none of ${routers} routers once the target announces none`, async () => {
      // Guards against routers that still send nothing to a target long after it recovered.
      const simulation = LimitSimulations.createLimitSimulation({ routers, perSecond: 400 });
      simulation.setLimit(4.5);
      await simulation.runFor(SETTLING_MS);
      expect(simulation.countAvailable()).toBeLessThan(routers);
      simulation.setLimit(undefined);
      await simulation.runFor(recoveryMs);
      expect(simulation.countAvailable()).toEqual(routers);
    });
  }

  it('of zero still lets the target announce that it accepts requests again', async () => {
    // Guards against a target that receives no requests any more after it announced 0.
    const simulation = LimitSimulations.createLimitSimulation({ routers: 7, perSecond: 60 });
    simulation.setLimit(0);
    await simulation.runFor(SETTLING_MS);
    const sinceMs = simulation.getNowMs();
    await simulation.runFor(SIMULATED_MS);
    expect(simulation.countMaxArrivals(SPAN_MS, sinceMs)).toBeLessThan(computeMaxArrivals(0) + 1);
    simulation.setLimit(undefined);
    await simulation.runFor(6_000);
    expect(simulation.countAvailable()).toEqual(7);
  });
});
