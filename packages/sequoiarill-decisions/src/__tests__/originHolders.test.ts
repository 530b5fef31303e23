import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as OriginHolders from '../originHolders';

const ZONES = ['a', 'b', 'c'];

function listRouters(count: number) {
  return Array.from({ length: count }, (_one, index) => ({
    address: `10.0.0.${index}:1`,
    zone: ZONES[index % ZONES.length] ?? '',
  }));
}

function getZone(address: string): string | undefined {
  return listRouters(300).find((router) => router.address === address)?.zone;
}

describe('the routers that remember a stream', () => {
  it('are in different zones first, and the same in whatever order routers are known', () => {
    // Guards against origins that are lost with one zone, or that nobody finds again.
    for (const key of ['s1', 's2', 's3']) {
      const holders = OriginHolders.selectOriginHolders(listRouters(30), key);
      expect([...new Set(holders.slice(0, 3).map(getZone))].sort()).toEqual(ZONES);
      const reversed = [...listRouters(30)].reverse();
      expect(OriginHolders.selectOriginHolders(reversed, key)).toEqual(holders);
    }
  });

  it('change little when a router comes or goes', () => {
    // Guards against a fleet that has to tell all streams again after each restart.
    const keys = Array.from({ length: 200 }, (_one, index) => `s${index}`);
    const moved = keys.filter((key) => {
      const before = OriginHolders.selectOriginHolders(listRouters(300), key).slice(0, 3);
      const after = OriginHolders.selectOriginHolders(listRouters(299), key).slice(0, 3);
      return after.join() !== before.join();
    });
    expect(moved.length).toBeLessThan(20);
  });

  it('are all routers in a small fleet', () => {
    expect(OriginHolders.selectOriginHolders(listRouters(7), 's1').length).toEqual(7);
  });
});
