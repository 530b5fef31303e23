import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Collectors from '../collectors';
import {
  SERVICE,
  createConfiguration,
  createFleet,
  createRoute,
  createTarget,
  listEvents,
} from './virtualFleet';
import type { VirtualRouter } from './virtualFleet';

type Fleet = ReturnType<typeof createFleet>;

/** Three routers in each zone, each with demand of two organisations. */
function createLoadedFleet(zones: readonly string[] = ['a', 'b'], perZone = 3): Fleet {
  const fleet = createFleet(zones, perZone);
  for (const router of fleet.routers) {
    fleet.loads.push({ router, organisation: 'small', level: 0, demand: 10, served: 10 });
    fleet.loads.push({ router, organisation: 'large', level: 1, demand: 190, served: 90 });
  }
  return fleet;
}

function findCollector({ routers }: Fleet, zone: string): VirtualRouter {
  const locations = routers.map((router) => ({ address: router.address, zone: router.zone }));
  const peers = { self: '', listRouters: () => locations };
  const [address] = Collectors.listCollectors(peers, zone, '', SERVICE);
  return routers.find((router) => router.address === address) as VirtualRouter;
}

function listCovered(routers: readonly VirtualRouter[]) {
  return routers.map(({ room }) => room.getFleetRepeats(SERVICE)?.routers);
}

function countMarked(router: VirtualRouter, organisation: string, level: number): number {
  const streams = Array.from({ length: 100 }, () =>
    router.room.markStream({ service: SERVICE, organisation, level }),
  );
  return streams.filter(({ isWithinShare }) => isWithinShare).length;
}

describe('exchange', () => {
  it('tells every router the sums of the fleet, each router counted once', async () => {
    const fleet = createLoadedFleet();
    await fleet.runFor(6_000);
    const sums = { requests: 600, retries: 60, capacity: 120, settledRouters: 6 };
    for (const { room } of fleet.routers) {
      const repeats = { ...sums, endedRequests: 0, endedRetries: 0, routers: 6 };
      expect(room.getFleetRepeats(SERVICE)).toEqual(repeats);
    }
    // Own figures are those of now.
    const [first] = fleet.routers as [VirtualRouter];
    first.repeats = { requests: 300, retries: 100, capacity: 20, isSettled: true };
    expect(first.room.getFleetRepeats(SERVICE)?.requests).toEqual(800);
  });

  it('marks streams by the shares in the whole fleet', async () => {
    // Failure: the callers of an organisation are all in one zone, whose routers alone see its demand.
    const fleet = createFleet(['a', 'b'], 2);
    const [inA, , inB] = fleet.routers as [VirtualRouter, VirtualRouter, VirtualRouter];
    fleet.loads.push({ router: inA, organisation: 'large', level: 1, demand: 900, served: 400 });
    fleet.loads.push({ router: inB, organisation: 'small', level: 1, demand: 100, served: 100 });
    await fleet.runFor(15_000);
    for (const router of [inA, inB]) {
      expect(countMarked(router, 'small', 1)).toEqual(100);
      // 0.9 of the 500 served are shared out, and 350 of those are left for a demand of 900.
      expect(countMarked(router, 'large', 1)).toBeCloseTo(39, 1);
    }
    fleet.loads[0] = { ...(fleet.loads[0] as Fleet['loads'][0]), demand: 410 };
    await fleet.runFor(15_000);
    expect(countMarked(inB, 'large', 1)).toEqual(100);
  });

  it('sends its first report within 1 s and nothing while no service is active', async () => {
    const fleet = createFleet(['a', 'b'], 3);
    await fleet.runFor(1_000);
    expect(new Set(fleet.calls.map(({ from }) => from)).size).toEqual(6);
    const idle = createFleet(['a', 'b'], 3, 'off');
    await idle.runFor(20_000);
    expect(idle.calls).toEqual([]);
    expect(idle.routers[0]?.room.isActive(SERVICE)).toEqual(false);
  });

  it('becomes silent when a service has no streams', async () => {
    const fleet = createLoadedFleet();
    await fleet.runFor(12_000);
    fleet.loads.length = 0;
    await fleet.runFor(30_000);
    fleet.calls.length = 0;
    await fleet.runFor(10_000);
    expect(fleet.calls.length).toEqual(0);
  });

  for (const failure of ['killed', 'paused', 'cut off'] as const) {
    it(`goes on with the next collector (${failure})`, async () => {
      const fleet = createLoadedFleet();
      await fleet.runFor(11_000);
      const collector = findCollector(fleet, 'a');
      const others = fleet.routers.filter((router) => router !== collector);
      if (failure === 'killed') fleet.killRouter(collector);
      collector.isPaused = failure === 'paused';
      if (failure === 'cut off') {
        fleet.setLinks((from, to) => from !== collector && to !== collector);
      }
      for (let round = 0; round < 10; round += 1) {
        await fleet.runFor(1_000);
        for (const covered of listCovered(others)) {
          expect(covered ?? 0).toBeGreaterThanOrEqual(5);
        }
      }
      expect(listCovered(others)).toEqual([5, 5, 5, 5, 5]);
      collector.isPaused = false;
      if (failure === 'killed') fleet.startProcess(collector);
      fleet.setLinks(() => true);
      await fleet.runFor(8_000);
      expect(listCovered(fleet.routers)).toEqual([6, 6, 6, 6, 6, 6]);
      expect(others.flatMap(listEvents)).not.toInclude('room.digestLost');
    });
  }

  it('goes on with the zones it reaches while a zone is cut off', async () => {
    const fleet = createLoadedFleet(['a', 'b', 'c']);
    await fleet.runFor(11_000);
    fleet.setLinks((from, to) => (from.zone === 'c') === (to.zone === 'c'));
    await fleet.runFor(16_000);
    expect(listCovered(fleet.routers)).toEqual([6, 6, 6, 6, 6, 6, 3, 3, 3]);
    fleet.setLinks(() => true);
    await fleet.runFor(6_000);
    expect(listCovered(fleet.routers)).toEqual(fleet.routers.map(() => 9));
  });

  for (let seed = 1; seed <= 5; seed += 1) {
    it(`counts no router twice while messages are late, doubled and lost (seed ${seed})`, async () => {
      let state = seed;
      const nextRandom = () => {
        state = (state * 16_807) % 2_147_483_647;
        return state / 2_147_483_647;
      };
      const fleet = createLoadedFleet(['a', 'b', 'c']);
      fleet.setDelays(() => {
        const copies = nextRandom() < 0.15 ? 0 : 1 + Math.floor(nextRandom() * 2);
        return Array.from({ length: copies }, () => 4_000 * nextRandom() ** 4);
      });
      let covered = 0;
      for (let step = 0; step < 300; step += 1) {
        await fleet.runFor(100);
        for (const { room } of fleet.routers) {
          const repeats = room.getFleetRepeats(SERVICE);
          expect(repeats?.routers ?? 0).toBeLessThanOrEqual(9);
          expect(repeats?.requests ?? 0).toBeLessThanOrEqual(900);
          // Failure: a live router is taken for ended, and its requests earn retries twice.
          expect(repeats?.endedRequests ?? 0).toEqual(0);
          covered += repeats?.routers ?? 0;
        }
      }
      expect(covered / 2_700).toBeGreaterThan(7);
    });
  }

  it('uses its own figures where no peer knows the call', async () => {
    const fleet = createLoadedFleet(['a'], 4);
    fleet.setLinks(() => false);
    await fleet.runFor(20_000);
    const collectors = listCovered(fleet.routers).filter((covered) => covered === 1);
    // The first two in rank collect for themselves.
    expect(collectors.length).toEqual(2);
    const cut = fleet.routers.filter(({ room }) => room.getFleetRepeats(SERVICE) === undefined);
    expect(cut.length).toEqual(2);
    fleet.setLinks(() => true);
    await fleet.runFor(6_000);
    for (const router of cut) {
      const events = listEvents(router).filter((name) => name.startsWith('room.digest'));
      expect(events).toEqual(['room.digestLost', 'room.digestRegained']);
      expect(countMarked(router, 'small', 0)).toEqual(100);
    }
  });

  for (const role of ['collector', 'other'] as const) {
    it(`keeps the retries of a router that is restarted (${role})`, async () => {
      const fleet = createLoadedFleet();
      await fleet.runFor(11_000);
      const collector = findCollector(fleet, 'a');
      const restarted = fleet.routers.find((router) =>
        role === 'collector' ? router === collector : router.zone === 'a' && router !== collector,
      ) as VirtualRouter;
      const observer = fleet.routers.find(({ zone }) => zone === 'b') as VirtualRouter;
      fleet.killRouter(restarted);
      restarted.repeats = { requests: 0, retries: 0, capacity: 8, isSettled: false };
      fleet.startProcess(restarted);
      await fleet.runFor(4_500);
      const ended = observer.room.getFleetRepeats(SERVICE);
      expect(ended?.endedRetries).toEqual(10);
      expect(ended?.retries).toEqual(50);
      await fleet.runFor(14_000);
      expect(observer.room.getFleetRepeats(SERVICE)?.endedRetries).toEqual(0);
    });
  }

  it('sends a last report when it stops', async () => {
    const fleet = createLoadedFleet(['a', 'b'], 1);
    await fleet.runFor(11_000);
    const [stopped, left] = fleet.routers as [VirtualRouter, VirtualRouter];
    stopped.repeats = { requests: 100, retries: 40, capacity: 20, isSettled: true };
    stopped.instance.stop?.();
    await fleet.runFor(200);
    stopped.isDown = true;
    const repeats = left.room.getFleetRepeats(SERVICE);
    expect(repeats?.endedRetries ?? 0).toBeGreaterThan(35);
    const last = fleet.calls.filter(({ message }) => message.isEnding);
    expect(last.map(({ to }) => to)).toEqual([left.address]);
  });

  it('sends nothing after the last report, even in the middle of a round', async () => {
    const fleet = createLoadedFleet(['a', 'b'], 2);
    await fleet.runFor(9_000);
    fleet.setLinks(() => false);
    await fleet.runFor(3_400);
    const [stopped] = fleet.routers as [VirtualRouter];
    fleet.loads.length = 0;
    const stop = stopped.instance.stop?.();
    await fleet.runFor(3_000);
    await stop;
    const sent = fleet.calls.filter(({ from }) => from === stopped.address);
    const index = sent.findIndex(({ message }) => message.isEnding);
    expect(sent.slice(index).map(({ message }) => message.isEnding)).toEqual([true, true]);
  });

  it('does not take routers for ended after it was paused itself', async () => {
    const fleet = createLoadedFleet();
    await fleet.runFor(11_000);
    const collector = findCollector(fleet, 'a');
    collector.isPaused = true;
    await fleet.runFor(7_500);
    collector.isPaused = false;
    for (let step = 0; step < 10; step += 1) {
      await fleet.runFor(100);
      expect(collector.room.getFleetRepeats(SERVICE)?.endedRetries ?? 0).toEqual(0);
    }
  });

  it('tells the others which engines are slow', async () => {
    const fleet = createLoadedFleet(['a', 'b'], 2);
    const [observer, ...others] = fleet.routers as [VirtualRouter, ...VirtualRouter[]];
    const targets = ['e1', 'e2', 'e3', 'slow'].map(createTarget);
    for (const target of targets) {
      for (let index = 0; index < 40; index += 1) {
        const gapMs = index % 4 === 0 ? 300 : 20;
        observer.room.recordGap(target, 'run', target.id === 'slow' ? gapMs * 2 : gapMs);
      }
      observer.room.recordRunEnd(target, 'run');
    }
    for (const target of targets.slice(0, 3)) {
      others.forEach(({ room }) => room.recordPrefill(target, { tokens: 8_000, ms: 800 }));
    }
    await fleet.runFor(8_000);
    for (const { room } of fleet.routers) {
      expect(room.getSpeedFactor(createTarget('slow'))).toBeGreaterThan(1.5);
      expect(room.getSpeedFactor(createTarget('e1'))).toBeCloseTo(1, 0.1);
    }
  });

  it('follows changes of priorities and organisations', async () => {
    const fleet = createLoadedFleet();
    const [{ room }] = fleet.routers as [VirtualRouter];
    const batch = createRoute('batch', 2);
    await fleet.runFor(5_000);
    const query = { service: SERVICE, route: batch, organisation: 'small' };
    expect(room.getLevel(query)).toEqual(1);
    const organisations = [{ name: 'small', apiKeys: [], priority: 0 }];
    const routes = [createRoute('chat', 0), createRoute('batch', 0)];
    fleet.state.configuration = createConfiguration({ version: 2, organisations, routes });
    expect(room.isActive(SERVICE)).toEqual(false);
    expect(room.getLevel(query)).toEqual(undefined);
    expect(room.markStream({ ...query, level: 2 })).toEqual({ level: 2, isWithinShare: true });
    await fleet.runFor(3_000);
    fleet.calls.length = 0;
    await fleet.runFor(5_000);
    expect(fleet.calls).toEqual([]);
    fleet.state.configuration = createConfiguration({ version: 3 });
    await fleet.runFor(5_000);
    expect(listCovered(fleet.routers)).toEqual([6, 6, 6, 6, 6, 6]);
  });

  it('shows streams of the last minute in the state dump', async () => {
    const fleet = createLoadedFleet();
    const [{ room, instance }] = fleet.routers as [VirtualRouter];
    for (let index = 0; index < 80; index += 1) {
      const organisation = index === 0 ? 'small' : `organisation${index}`;
      room.getLevel({ service: SERVICE, route: createRoute('chat', 0), organisation });
    }
    room.setLineSource(() => ({ waiting: 3 }));
    await fleet.runFor(10_000);
    const dump = instance.dumpState();
    const streams = dump.streams as readonly { organisation: string; demand: number }[];
    expect(streams.length).toEqual(50);
    expect(streams[0]?.organisation).toEqual('small');
    expect(streams[0]?.demand ?? 0).toBeCloseTo(60, 6);
    expect(dump.lines).toEqual({ waiting: 3 });
    await fleet.runFor(61_000);
    expect(instance.dumpState()).toEqual(expect.subset({ streams: [] }));
  });
});
