import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Partners from '../partners';
import * as PeerTables from '../peerRegistry';
import * as Fleets from './virtualFleet';

const SEEDS = [1, 2, 3];

/** Time until all of a zone's others know, in steps of one round. */
function measureSpreadMs(fleet: Fleets.Fleet, isKnown: (node: Fleets.Node) => boolean): number {
  const startMs = fleet.getNowMs();
  while (!fleet.nodes.every(isKnown) && fleet.getNowMs() - startMs < 60_000) {
    fleet.runMs(Partners.ROUND_MS);
  }
  return fleet.getNowMs() - startMs;
}

describe('routers that find each other', () => {
  for (const seed of SEEDS) {
    it(`all know all, from one seed address (seed ${seed})`, () => {
      const fleet = Fleets.createZones(seed, 3, 3);
      fleet.runMs(12_000);
      const names = fleet.nodes.map(({ name }) => name).sort();
      for (const node of fleet.nodes) expect(Fleets.listLiving(node)).toEqual(names);
      const hashes = new Set(fleet.nodes.map(({ state }) => state.peers.getHash()));
      expect(hashes.size).toEqual(1);
    });
  }

  it('tells 31 others of a dead target within two seconds', () => {
    // An engine dies. The router that was streaming from it notices at once; the others would go
    // on sending it new generations until each had lost one of its own.
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
    it(`declares a dead router dead and nobody else (seed ${seed})`, () => {
      // A VM loses its power. Its router's share of limits must go to the others, and its name
      // must not linger as alive; nobody else may be taken for dead on the way.
      const fleet = Fleets.createZones(seed, 3, 3);
      fleet.runMs(12_000);
      fleet.getNode('z1-2').isDown = true;
      fleet.runMs(25_000);
      for (const node of fleet.nodes.filter(({ isDown }) => !isDown)) {
        const states = Fleets.listStates(node);
        expect(states['z1-2']).toEqual('dead');
        expect(Fleets.listLiving(node).length).toEqual(8);
      }
    });
  }

  it('lets a restarted router back in with a higher incarnation only', () => {
    // A router is restarted on its VM. Records of its first life are still under way and arrive
    // after those of the second; they must not show it as dead again.
    const fleet = Fleets.createZones(5, 1, 3);
    fleet.runMs(10_000);
    fleet.getNode('z1-3').isDown = true;
    fleet.runMs(20_000);
    const late = Fleets.findRecord(fleet.getNode('z1-1'), 'z1-3');
    expect(late?.state).toEqual('dead');
    fleet.addNode({ name: 'z1-3', zone: 'z1', incarnation: 7, seeds: ['z1-1:1'] });
    fleet.runMs(10_000);
    if (late !== undefined) fleet.getNode('z1-2').state.mergeRecords([late]);
    fleet.runMs(5_000);
    for (const node of fleet.nodes.filter(({ isDown }) => !isDown)) {
      expect(Fleets.findRecord(node, 'z1-3')?.incarnation).toEqual(7);
      expect(Fleets.listLiving(node).length).toEqual(3);
    }
  });

  it('lets a router back in whose clock was set back before its restart', () => {
    // The VM's clock was an hour ahead and is corrected; the restarted router picks a lower
    // incarnation than before. The others hold it for a late record of its first life until it
    // learns of that and takes a higher one.
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
    expect(Fleets.listLiving(fleet.getNode('z1-2')).length).toEqual(3);
  });

  it('does not take others for dead after a pause of its own, nor pass on what it saw before', () => {
    // The hypervisor stops a VM for a minute. On waking, its router has heard from nobody for a
    // minute and holds an engine for dead that has long come back. It must declare nobody dead,
    // and the others must go on using the engine.
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
    expect(Fleets.listLiving(paused)).toEqual(['z1-1', 'z1-2', 'z1-3', 'z1-4']);
    for (const node of fleet.nodes) {
      expect(Fleets.listLiving(node).length).toEqual(4);
      expect(node.state.targets.getHealth('engine', fleet.getNowMs())?.state).toEqual('healthy');
    }
  });

  it('declares nobody dead when it is cut off itself', () => {
    // A switch port fails and cuts one router off from everybody. It cannot tell that from the
    // death of all others, and must not come back with their death certificates.
    const fleet = Fleets.createZones(8, 1, 4);
    fleet.runMs(10_000);
    fleet.isDelivered = (from, to) => from.name !== 'z1-4' && to.name !== 'z1-4';
    fleet.runMs(60_000);
    const states = Fleets.listStates(fleet.getNode('z1-4'));
    expect([states['z1-1'], states['z1-2']]).toEqual(['suspect', 'suspect']);
    expect(Fleets.listStates(fleet.getNode('z1-1'))['z1-4']).toEqual('dead');
    fleet.isDelivered = () => true;
    fleet.runMs(20_000);
    for (const node of fleet.nodes) expect(Fleets.listLiving(node).length).toEqual(4);
  });

  it('keeps a router alive that only one other cannot reach', () => {
    const fleet = Fleets.createZones(9, 1, 4);
    fleet.runMs(10_000);
    fleet.isDelivered = (from, to) =>
      ![from.name, to.name].every((name) => ['z1-1', 'z1-2'].includes(name));
    fleet.runMs(60_000);
    for (const node of fleet.nodes) expect(Fleets.listLiving(node).length).toEqual(4);
  });

  it('forgets a dead router and refuses its old incarnation afterwards', () => {
    const table = PeerTables.createPeerRegistry({
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
    table.mergeRecord(record, 0);
    table.markDead('b', 0);
    table.removeForgotten(PeerTables.FORGET_DEAD_MS);
    expect(table.findRecord('b')).toEqual(undefined);
    table.mergeRecord(record, PeerTables.FORGET_DEAD_MS);
    expect(table.findRecord('b')?.state).toEqual('dead');
    table.mergeRecord({ ...record, incarnation: 6 }, PeerTables.FORGET_DEAD_MS);
    expect(table.findRecord('b')?.state).toEqual('alive');
  });
});

describe('partition of zones', () => {
  it('keeps what each side knows, shows the other as suspect, and heals', () => {
    // The link between zone 3 and the rest fails for ten minutes. Both sides go on; a router of
    // zone 3 dies meanwhile and another one joins. After healing all agree on both.
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
