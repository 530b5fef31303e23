import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Scenarios from '../scenarios';

const SECONDS = 100;
const CAPACITY = 50;

function createArrivals(name: string, seed = 1): readonly Scenarios.Arrival[] {
  return Scenarios.createArrivals({
    scenario: Scenarios.findScenario(name),
    seed,
    durationMs: SECONDS * 1_000,
    capacityPerSecond: CAPACITY,
  });
}

describe('the loads of the contention bench', () => {
  it('depend on the seed only', () => {
    // Failure: two builds are compared under different loads.
    expect(createArrivals('overload')).toEqual(createArrivals('overload'));
    expect(createArrivals('overload', 2)).not.toEqual(createArrivals('overload'));
  });

  it('offer the stated multiple of the capacity', () => {
    // Failure: figures for 1.6 times the capacity are measured at another load.
    const offered = createArrivals('overload').length / SECONDS / CAPACITY;
    expect(Math.abs(offered - 1.6) < 0.08).toEqual(true);
  });

  it('send nine tenths from one organisation', () => {
    // Failure: the load of one organisation does not displace that of the others.
    const arrivals = createArrivals('organisation');
    const large = arrivals.filter(({ organisation }) => organisation === 0).length;
    expect(Math.abs(large / arrivals.length - 0.9) < 0.02).toEqual(true);
  });

  it('multiply the least urgent route in the burst, and nothing else', () => {
    // Failure: the burst is of another route or lasts at all times.
    const { burst } = Scenarios.findScenario('burst');
    const countRate = (route: number, isInBurst: boolean) => {
      const burstMs = (burst?.untilMs ?? 0) - (burst?.fromMs ?? 0);
      const count = createArrivals('burst').filter(
        (one) =>
          one.route === route &&
          isInBurst === (one.atMs >= (burst?.fromMs ?? 0) && one.atMs < (burst?.untilMs ?? 0)),
      ).length;
      return count / (isInBurst ? burstMs : SECONDS * 1_000 - burstMs);
    };
    expect(Math.abs(countRate(2, true) / countRate(2, false) - 5) < 1.5).toEqual(true);
    expect(Math.abs(countRate(0, true) / countRate(0, false) - 1) < 0.4).toEqual(true);
  });
});
