import { describe, it } from 'node:test';

import { expect } from 'earl';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';

import * as FleetShares from '../fleetShares';

const ROUTERS = 9;
const LIMIT = 10_000;
const ROUND_MS = 2_000;

interface Fleet {
  readonly routers: readonly FleetShares.FleetShares[];
  readonly getShareSum: (nowMs: number) => number;
}

function createFleet(): Fleet {
  const routers = Array.from({ length: ROUTERS }, (_value, index) =>
    FleetShares.createFleetShares({
      routerName: `r${index}`,
      incarnation: 1,
      getRouterCount: () => ROUTERS,
      getLimit: () => LIMIT,
    }),
  );
  const getShareSum = (nowMs: number) =>
    routers.reduce((sum, router) => sum + router.getShare('shop', nowMs), 0);
  return { routers, getShareSum };
}

/** Simulates one round of reports; `isCut` tells which pairs of routers cannot reach each other. */
function simulateRound(
  fleet: Fleet,
  nowMs: number,
  demands: readonly number[],
  isCut: (from: number, to: number) => boolean = () => false,
): void {
  for (let stepMs = 0; stepMs < ROUND_MS; stepMs += 100) {
    fleet.routers.forEach((router, index) => {
      router.recordDemand('shop', (demands[index] ?? 0) / 10, nowMs + stepMs);
    });
  }
  const reports = fleet.routers.map((router) => router.buildReport(nowMs + ROUND_MS));
  fleet.routers.forEach((router, to) => {
    reports.forEach((report, from) => {
      if (!isCut(from, to)) router.applyReport(report);
    });
  });
}

function buildDemands(busy: ReadonlyMap<number, number>): readonly number[] {
  return Array.from({ length: ROUTERS }, (_value, index) => busy.get(index) ?? 0);
}

describe('fleetShares', () => {
  it('moves a limit to the router with the demand within five rounds and never exceeds it', () => {
    // The callers of an organisation reach router 0 only; then the load balancer moves them all to
    // router 5. The limit must follow within seconds, and both routers together must never use it
    // twice.
    const fleet = createFleet();
    let nowMs = 0;
    const simulateRounds = (demands: readonly number[], rounds: number) => {
      for (let round = 0; round < rounds; round += 1) {
        simulateRound(fleet, nowMs, demands);
        nowMs += ROUND_MS;
        if (round > 0) expect(fleet.getShareSum(nowMs) <= 1.001).toEqual(true);
      }
    };
    simulateRounds(buildDemands(new Map([[0, 20_000]])), 5);
    expect((fleet.routers[0]?.getShare('shop', nowMs) ?? 0) > 0.85).toEqual(true);
    simulateRounds(buildDemands(new Map([[5, 20_000]])), 5);
    expect((fleet.routers[5]?.getShare('shop', nowMs) ?? 0) > 0.85).toEqual(true);
    expect((fleet.routers[0]?.getShare('shop', nowMs) ?? 1) < 0.1).toEqual(true);
  });

  it('never exceeds the limit while demand moves at random', () => {
    const fleet = createFleet();
    const generator = xoroshiro128plus(7);
    let highestSum = 0;
    for (let round = 0; round < 200; round += 1) {
      const demands = buildDemands(
        new Map(
          Array.from({ length: ROUTERS }, (_value, index) => [
            index,
            2_000 + 30_000 * uniformFloat64(generator) ** 4,
          ]),
        ),
      );
      simulateRound(fleet, round * ROUND_MS, demands);
      const readMs = (round + 1) * ROUND_MS + Math.floor(uniformFloat64(generator) * 100);
      if (round > 2) highestSum = Math.max(highestSum, fleet.getShareSum(readMs));
    }
    expect(highestSum <= 1.001).toEqual(true);
    expect(highestSum > 0.5).toEqual(true);
  });

  it('keeps both sides of a partition within the limit while demand rises on both', () => {
    // Routers 0 to 3 and 4 to 8 are partitioned, and demand rises fivefold on both sides. Neither
    // side receives the other's reports; if each took its own demand for most of the total, the
    // organisation would get nearly twice its limit.
    const fleet = createFleet();
    const buildTwoBusy = (demand: number) =>
      buildDemands(
        new Map([
          [1, demand],
          [6, demand],
        ]),
      );
    for (let round = 0; round < 8; round += 1) {
      simulateRound(fleet, round * ROUND_MS, buildTwoBusy(10_000));
    }
    const isCut = (from: number, to: number) => from < 4 !== to < 4;
    const left = new Set(['r0', 'r1', 'r2', 'r3']);
    const right = new Set(['r4', 'r5', 'r6', 'r7', 'r8']);
    let highestSum = 0;
    for (let round = 8; round < 60; round += 1) {
      const nowMs = round * ROUND_MS;
      const isHealed = round >= 40;
      fleet.routers.forEach((router, index) => {
        const others = index < 4 ? right : left;
        router.setUnreachable(isHealed ? new Set() : others, nowMs + 1_000);
      });
      simulateRound(fleet, nowMs, buildTwoBusy(50_000), isHealed ? undefined : isCut);
      highestSum = Math.max(highestSum, fleet.getShareSum(nowMs + ROUND_MS));
    }
    expect(highestSum <= 1.01).toEqual(true);
    expect(highestSum > 0.9).toEqual(true);
  });

  it('gives the share of a terminated router to the others', () => {
    const fleet = createFleet();
    const demands = buildDemands(
      new Map([
        [1, 10_000],
        [6, 10_000],
      ]),
    );
    for (let round = 0; round < 4; round += 1) simulateRound(fleet, round * ROUND_MS, demands);
    fleet.routers.forEach((router) => router.removeRouter('r6'));
    expect((fleet.routers[1]?.getShare('shop', 4 * ROUND_MS) ?? 0) > 0.9).toEqual(true);
  });

  it('admits the occasional callers of an organisation with low demand at any router', () => {
    const fleet = createFleet();
    for (let round = 0; round < 5; round += 1) {
      simulateRound(fleet, round * ROUND_MS, buildDemands(new Map([[2, 500]])));
    }
    expect(fleet.routers[7]?.getShare('shop', 5 * ROUND_MS)).toEqual(0.5);
  });

  it('reports the end of a demand before smaller changes, however many there are', () => {
    // The callers of a large organisation leave this router while hundreds of small ones come and
    // go. If the report contained the highest demands only, the end would never be reported, and
    // the other routers would continue to leave a share of the limit to a router that does not use
    // it.
    const shares = FleetShares.createFleetShares({
      routerName: 'r0',
      incarnation: 1,
      getRouterCount: () => ROUTERS,
      getLimit: () => LIMIT,
      maxEntries: 8,
    });
    shares.recordDemand('large', 40_000, 0);
    expect(shares.buildReport(0).entries[0]?.organisation).toEqual('large');
    for (let index = 0; index < 200; index += 1) {
      shares.recordDemand(`small-${index}`, 400 + index, 40_000);
    }
    const { entries } = shares.buildReport(40_000);
    expect(entries[0]).toEqual({ organisation: 'large', demand: 0 });
    expect(entries.length).toEqual(8);
  });

  it('ignores a late report and the reports of an earlier incarnation', () => {
    const fleet = createFleet();
    const [router] = fleet.routers;
    if (router === undefined) throw new Error('no router');
    const buildPeerReport = (incarnation: number, sequence: number, demand: number) => ({
      router: 'r1',
      incarnation,
      sequence,
      entries: [{ organisation: 'shop', demand }],
    });
    for (let round = 0; round < 4; round += 1) {
      simulateRound(fleet, round * ROUND_MS, buildDemands(new Map([[0, 10_000]])));
    }
    router.applyReport(buildPeerReport(2, 1, 10_000));
    const share = router.getShare('shop', 8_000);
    router.applyReport(buildPeerReport(1, 99, 90_000));
    router.applyReport(buildPeerReport(2, 1, 90_000));
    expect(router.getShare('shop', 8_000)).toEqual(share);
    expect(share < 0.6).toEqual(true);
  });
});
