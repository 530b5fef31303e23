import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Partners from '../partners';
import * as PeerRegistries from '../peerRegistry';
import * as Fleets from './virtualFleet';

const SEEDS = [1, 2, 3];

/** Measures the time until the condition holds on all routers, in steps of one round. */
function measureSpreadMs(fleet: Fleets.Fleet, isKnown: (node: Fleets.Node) => boolean): number {
  const startMs = fleet.getNowMs();
  while (!fleet.nodes.every(isKnown) && fleet.getNowMs() - startMs < 60_000) {
    fleet.runMs(Partners.ROUND_MS);
  }
  return fleet.getNowMs() - startMs;
}

describe('discovery of routers', () => {
  for (const seed of SEEDS) {
    it(`completes on all routers from one seed address (seed ${seed})`, () => {
      const fleet = Fleets.createZones(seed, 3, 3);
      fleet.runMs(12_000);
      const names = fleet.nodes.map(({ name }) => name).sort();
      for (const node of fleet.nodes) expect(Fleets.listAlive(node)).toEqual(names);
      const hashes = new Set(fleet.nodes.map(({ state }) => state.peers.getHash()));
      expect(hashes.size).toEqual(1);
    });
  }

  it('notifies 31 other routers of a dead target within two seconds', () => {
    // An engine fails. The router that was streaming from it detects this at once; without its fact
    // each of the others would send new generations to the engine until one of them is lost.
    const fleet = Fleets.createZones(4, 1, 32);
    fleet.runMs(15_000);
    const [observer, second] = fleet.nodes;
    const spreads: number[] = [];
    for (let run = 0; run < 10; run += 1) {
      const target = `engine-${run}`;
      observer?.state.targets.recordReport({ target, state: 'dead' }, fleet.getNowMs());
      second?.state.targets.recordReport({ target, state: 'dead' }, fleet.getNowMs());
      const spread = measureSpreadMs(
        fleet,
        ({ state }) => state.targets.getHealth(target, fleet.getNowMs())?.state === 'dead',
      );
      spreads.push(spread);
    }
    expect(Math.max(...spreads)).toBeLessThanOrEqual(2_000);
  });
});

describe('failures of routers', () => {
  for (const seed of SEEDS) {
    it(`declares only the failed router dead (seed ${seed})`, () => {
      // A VM loses power. If its router were still listed as alive, the other routers would not
      // take over its share of the limits. No other router may be declared dead meanwhile.
      const fleet = Fleets.createZones(seed, 3, 3);
      fleet.runMs(12_000);
      fleet.getNode('z1-2').isDown = true;
      fleet.runMs(25_000);
      for (const node of fleet.nodes.filter(({ isDown }) => !isDown)) {
        const states = Fleets.listStates(node);
        expect(states['z1-2']).toEqual('dead');
        expect(Fleets.listAlive(node).length).toEqual(8);
      }
    });
  }

  it('accepts a restarted router only with a higher incarnation', () => {
    // A router is restarted on its VM. Delayed records of its first incarnation arrive after those
    // of the second; they must not mark it as dead again.
    const fleet = Fleets.createZones(5, 1, 3);
    fleet.runMs(10_000);
    fleet.getNode('z1-3').isDown = true;
    fleet.runMs(20_000);
    const lateRecord = Fleets.findRecord(fleet.getNode('z1-1'), 'z1-3');
    expect(lateRecord?.state).toEqual('dead');
    fleet.addNode({ name: 'z1-3', zone: 'z1', incarnation: 7, seeds: ['z1-1:1'] });
    fleet.runMs(10_000);
    if (lateRecord !== undefined) fleet.getNode('z1-2').state.mergeRecords([lateRecord]);
    fleet.runMs(5_000);
    for (const node of fleet.nodes.filter(({ isDown }) => !isDown)) {
      expect(Fleets.findRecord(node, 'z1-3')?.incarnation).toEqual(7);
      expect(Fleets.listAlive(node).length).toEqual(3);
    }
  });

  it('accepts a router whose clock was set back before its restart', () => {
    // The VM's clock was an hour ahead and is corrected, so the restarted router chooses a lower
    // incarnation than before. The others treat its records as delayed ones of the first
    // incarnation until it learns the higher one and exceeds it.
    const fleet = Fleets.createZones(6, 1, 2);
    fleet.addNode({ name: 'z1-3', zone: 'z1', incarnation: 100, seeds: ['z1-1:1'] });
    fleet.runMs(10_000);
    fleet.getNode('z1-3').isDown = true;
    fleet.runMs(20_000);
    fleet.addNode({ name: 'z1-3', zone: 'z1', incarnation: 50, seeds: ['z1-1:1'] });
    fleet.runMs(15_000);
    expect(Fleets.findRecord(fleet.getNode('z1-1'), 'z1-3')).toEqual(
      fleet.getNode('z1-3').state.peers.getSelf(),
    );
    expect(fleet.getNode('z1-3').state.peers.getSelf().incarnation).toEqual(101);
    expect(Fleets.listAlive(fleet.getNode('z1-2')).length).toEqual(3);
  });

  it('neither declares others dead nor publishes old facts after a pause of its own process', () => {
    // The hypervisor pauses a VM for a minute. When its router resumes, it has received nothing for
    // a minute and considers an engine dead that has recovered. It must not declare any router
    // dead, and the others must continue to use the engine.
    const fleet = Fleets.createZones(7, 1, 4);
    fleet.runMs(10_000);
    const paused = fleet.getNode('z1-4');
    paused.isPaused = true;
    paused.state.targets.recordReport({ target: 'engine', state: 'dead' }, fleet.getNowMs());
    fleet.runMs(60_000);
    expect(Fleets.listStates(fleet.getNode('z1-1'))['z1-4']).toEqual('dead');
    fleet.nodes.slice(0, 3).forEach(({ state }) => {
      state.targets.recordReport({ target: 'engine', state: 'healthy' }, fleet.getNowMs());
    });
    paused.isPaused = false;
    fleet.runMs(5_000);
    expect(Fleets.listAlive(paused)).toEqual(['z1-1', 'z1-2', 'z1-3', 'z1-4']);
    for (const node of fleet.nodes) {
      expect(Fleets.listAlive(node).length).toEqual(4);
      expect(node.state.targets.getHealth('engine', fleet.getNowMs())?.state).toEqual('healthy');
    }
  });

  it('declares no router dead while this router is partitioned itself', () => {
    // A switch port fails and isolates one router. It cannot distinguish this from the failure of
    // all others, and must not spread records that mark them dead when the port works again.
    const fleet = Fleets.createZones(8, 1, 4);
    fleet.runMs(10_000);
    fleet.isDelivered = (from, to) => from.name !== 'z1-4' && to.name !== 'z1-4';
    fleet.runMs(60_000);
    const states = Fleets.listStates(fleet.getNode('z1-4'));
    expect([states['z1-1'], states['z1-2']]).toEqual(['suspect', 'suspect']);
    expect(Fleets.listStates(fleet.getNode('z1-1'))['z1-4']).toEqual('dead');
    fleet.isDelivered = () => true;
    fleet.runMs(20_000);
    for (const node of fleet.nodes) expect(Fleets.listAlive(node).length).toEqual(4);
  });

  it('keeps a router alive that only one other router cannot reach', () => {
    const fleet = Fleets.createZones(9, 1, 4);
    fleet.runMs(10_000);
    fleet.isDelivered = (from, to) =>
      ![from.name, to.name].every((name) => ['z1-1', 'z1-2'].includes(name));
    fleet.runMs(60_000);
    for (const node of fleet.nodes) expect(Fleets.listAlive(node).length).toEqual(4);
  });

  it('removes a dead router and rejects its old incarnation afterwards', () => {
    const registry = PeerRegistries.createPeerRegistry({
      process: { name: 'a', zone: 'z1', region: 'r1' },
      address: 'a:1',
      incarnation: 1,
      hashText: Fleets.hashText,
    });
    const record = {
      name: 'b',
      zone: 'z1',
      region: 'r1',
      address: 'b:1',
      incarnation: 5,
      state: 'alive',
    } as const;
    registry.mergeRecord(record, 0);
    registry.markDead('b', 0);
    registry.removeExpired(PeerRegistries.DEAD_RECORD_RETENTION_MS);
    expect(registry.findRecord('b')).toEqual(undefined);
    registry.mergeRecord(record, PeerRegistries.DEAD_RECORD_RETENTION_MS);
    expect(registry.findRecord('b')?.state).toEqual('dead');
    registry.mergeRecord({ ...record, incarnation: 6 }, PeerRegistries.DEAD_RECORD_RETENTION_MS);
    expect(registry.findRecord('b')?.state).toEqual('alive');
  });
});

describe('partition of zones', () => {
  it('preserves the state of each side, marks the other as suspect, and converges afterwards', () => {
    // The network between zone 3 and the others fails for ten minutes. Both sides continue; one
    // router of zone 3 fails meanwhile and another one joins. After the fault is cleared, all
    // routers must have both changes.
    const fleet = Fleets.createZones(10, 3, 3);
    fleet.runMs(12_000);
    fleet.isDelivered = (from, to) => (from.zone === 'z3') === (to.zone === 'z3');
    fleet.runMs(30_000);
    expect(Fleets.listStates(fleet.getNode('z1-1'))['z3-1']).toEqual('suspect');
    expect(Fleets.listStates(fleet.getNode('z1-1'))['z2-1']).toEqual('alive');
    expect(Fleets.listStates(fleet.getNode('z3-1'))['z3-2']).toEqual('alive');
    fleet.getNode('z3-3').isDown = true;
    fleet.addNode({ name: 'z3-4', zone: 'z3', seeds: ['z3-1:1'] });
    fleet.getNode('z3-1').configuration.accept({ name: 'team', revision: 9, text: 'new' });
    fleet.runMs(570_000);
    expect(fleet.getNode('z3-4').configuration.getAnnouncement().revision).toEqual(9);
    expect(fleet.getNode('z1-1').configuration.getAnnouncement().revision).toEqual(0);
    fleet.isDelivered = () => true;
    fleet.runMs(10_000);
    for (const node of fleet.nodes.filter(({ isDown }) => !isDown)) {
      const states = Fleets.listStates(node);
      expect([states['z3-3'], states['z3-4'], states['z1-1']]).toEqual(['dead', 'alive', 'alive']);
      expect(node.configuration.getAnnouncement().revision).toEqual(9);
    }
  });
});
