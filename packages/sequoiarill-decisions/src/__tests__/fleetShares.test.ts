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
  readonly getSum: (nowMs: number) => number;
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
  const getSum = (nowMs: number) =>
    routers.reduce((sum, router) => sum + router.getShare('shop', nowMs), 0);
  return { routers, getSum };
}

/** One round of reports; `isCut` says which pairs cannot hear each other. */
function playRound(
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
  it('moves a limit to where the demand is within five rounds and never gives out more', () => {
    // A shop's callers reach router 0 only; then the balancer moves all of them to router 5. The
    // limit has to follow within seconds, and in between the two must not have it twice.
    const fleet = createFleet();
    let nowMs = 0;
    const playTo = (demands: readonly number[], rounds: number) => {
      for (let round = 0; round < rounds; round += 1) {
        playRound(fleet, nowMs, demands);
        nowMs += ROUND_MS;
        if (round > 0) expect(fleet.getSum(nowMs) <= 1.001).toEqual(true);
      }
    };
    playTo(buildDemands(new Map([[0, 20_000]])), 5);
    expect((fleet.routers[0]?.getShare('shop', nowMs) ?? 0) > 0.85).toEqual(true);
    playTo(buildDemands(new Map([[5, 20_000]])), 5);
    expect((fleet.routers[5]?.getShare('shop', nowMs) ?? 0) > 0.85).toEqual(true);
    expect((fleet.routers[0]?.getShare('shop', nowMs) ?? 1) < 0.1).toEqual(true);
  });

  it('never gives out more than the limit while demand moves at random', () => {
    const fleet = createFleet();
    const generator = xoroshiro128plus(7);
    let worst = 0;
    for (let round = 0; round < 200; round += 1) {
      const demands = buildDemands(
        new Map(
          Array.from({ length: ROUTERS }, (_value, index) => [
            index,
            2_000 + 30_000 * uniformFloat64(generator) ** 4,
          ]),
        ),
      );
      playRound(fleet, round * ROUND_MS, demands);
      const readMs = (round + 1) * ROUND_MS + Math.floor(uniformFloat64(generator) * 100);
      if (round > 2) worst = Math.max(worst, fleet.getSum(readMs));
    }
    expect(worst <= 1.001).toEqual(true);
    expect(worst > 0.5).toEqual(true);
  });

  it('keeps both sides of a partition inside the limit while demand rises on both', () => {
    // Routers 0 to 3 and 4 to 8 lose each other, and callers on both sides ask for five times as much.
    // Neither side hears of the other's rise; if each took its own for most of the whole, the
    // organisation would get its limit nearly twice.
    const fleet = createFleet();
    const buildBusy = (demand: number) =>
      buildDemands(
        new Map([
          [1, demand],
          [6, demand],
        ]),
      );
    for (let round = 0; round < 8; round += 1) {
      playRound(fleet, round * ROUND_MS, buildBusy(10_000));
    }
    const isCut = (from: number, to: number) => from < 4 !== to < 4;
    const left = new Set(['r0', 'r1', 'r2', 'r3']);
    const right = new Set(['r4', 'r5', 'r6', 'r7', 'r8']);
    let worst = 0;
    for (let round = 8; round < 60; round += 1) {
      const nowMs = round * ROUND_MS;
      const isHealed = round >= 40;
      fleet.routers.forEach((router, index) => {
        const others = index < 4 ? right : left;
        router.setUnreachable(isHealed ? new Set() : others, nowMs + 1_000);
      });
      playRound(fleet, nowMs, buildBusy(50_000), isHealed ? undefined : isCut);
      worst = Math.max(worst, fleet.getSum(nowMs + ROUND_MS));
    }
    expect(worst <= 1.01).toEqual(true);
    expect(worst > 0.9).toEqual(true);
  });

  it('gives the share of a router that ended to the others', () => {
    const fleet = createFleet();
    const demands = buildDemands(
      new Map([
        [1, 10_000],
        [6, 10_000],
      ]),
    );
    for (let round = 0; round < 4; round += 1) playRound(fleet, round * ROUND_MS, demands);
    fleet.routers.forEach((router) => router.removeRouter('r6'));
    expect((fleet.routers[1]?.getShare('shop', 4 * ROUND_MS) ?? 0) > 0.9).toEqual(true);
  });

  it('lets the sparse callers of a quiet organisation in at any router', () => {
    const fleet = createFleet();
    for (let round = 0; round < 5; round += 1) {
      playRound(fleet, round * ROUND_MS, buildDemands(new Map([[2, 500]])));
    }
    expect(fleet.routers[7]?.getShare('shop', 5 * ROUND_MS)).toEqual(0.5);
  });

  it('tells that a demand ended before smaller changes, however many there are', () => {
    // A large shop's callers leave this router while hundreds of small ones come and go. If the report
    // had room for the most demanding only, the end would never be told, and the others would go on
    // leaving a part of the shop's limit to a router that has no use for it.
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

  it('ignores a late report and the reports of an earlier start', () => {
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
      playRound(fleet, round * ROUND_MS, buildDemands(new Map([[0, 10_000]])));
    }
    router.applyReport(buildPeerReport(2, 1, 10_000));
    const share = router.getShare('shop', 8_000);
    router.applyReport(buildPeerReport(1, 99, 90_000));
    router.applyReport(buildPeerReport(2, 1, 90_000));
    expect(router.getShare('shop', 8_000)).toEqual(share);
    expect(share < 0.6).toEqual(true);
  });
});
