import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Simulation from './originSimulation';

const { V1, V2, OLD, NEW, SETTLE_MS, startRouters, findOrigin, getVersion } = Simulation;

describe('the origin of a stream that routers have stored', () => {
  it('is known after all routers were killed, once or twice in a row', async () => {
    // Guards against knowledge that ends with the processes of all routers.
    const simulation = Simulation.createSimulation();
    simulation.setTargets([...OLD, ...NEW]);
    const routers = await startRouters(simulation, 2);
    routers[0].origins.recordBegun(Simulation.createAttempt('s1'), V1);
    routers[1].origins.recordBegun(Simulation.createAttempt('s2'), { ...V2, target: 'b2' });
    await simulation.clock.runFor(SETTLE_MS);
    for (let kill = 0; kill < 2; kill += 1) {
      routers.splice(0).forEach(simulation.removeRouter);
      routers.push(...(await startRouters(simulation, 2)));
      for (const [id, origin] of [
        ['s1', V1],
        ['s2', { ...V2, target: 'b2' }],
      ] as const) {
        const attempt = Simulation.createAttempt(`${id}-again-${kill}`, id);
        const found = await findOrigin(simulation, routers[0], attempt);
        expect(found?.kind === 'found' && found.origin).toEqual({ service: 'engines', ...origin });
      }
    }
  });

  it('is stored with many others in one write, and not while one build serves', async () => {
    // Guards against a write to the store for each stream, and against any while there is nothing to confuse.
    const simulation = Simulation.createSimulation();
    simulation.setTargets(OLD);
    const [first] = await startRouters(simulation, 2);
    const begin = async (prefix: string) => {
      for (let index = 0; index < 40; index += 1) {
        first.origins.recordBegun(Simulation.createAttempt(`${prefix}${index}`), V1);
        await simulation.clock.runFor(100);
      }
    };
    await begin('s');
    expect(simulation.streamWrites).toEqual([]);
    expect(simulation.reads).toEqual([]);
    simulation.setTargets([...OLD, ...NEW]);
    await begin('t');
    await simulation.clock.runFor(SETTLE_MS);
    // Two a second.
    expect(simulation.streamWrites.length).toBeLessThan(11);
    const others = await startRouters(simulation, 1);
    simulation.removeRouter(first);
    for (const id of ['s0', 's39', 't0', 't39']) {
      const attempt = Simulation.createAttempt(`${id}-again`, id);
      expect(getVersion(await findOrigin(simulation, others[0], attempt))).toEqual('v1');
    }
  });

  it('is not read from the store again for each stream that nobody knows', async () => {
    // Guards against callers that name unknown streams and use up the calls of the store.
    const simulation = Simulation.createSimulation();
    simulation.setTargets([...OLD, ...NEW]);
    const [first] = await startRouters(simulation, 1);
    for (let index = 0; index < 50; index += 1) {
      const attempt = Simulation.createAttempt(`a${index}`, `unknown${index}`);
      expect((await findOrigin(simulation, first, attempt))?.kind).toEqual('unknown');
    }
    expect(simulation.reads.length).toBeLessThan(12);
  });

  it('is stored once the store is heard again', async () => {
    // Guards against streams of an outage of the store that nobody stores after it.
    const simulation = Simulation.createSimulation();
    simulation.setTargets([...OLD, ...NEW]);
    const routers = await startRouters(simulation, 1);
    routers.forEach((router) => Object.assign(router, { isUpToDate: false }));
    routers[0].origins.recordBegun(Simulation.createAttempt('s1'), V1);
    await simulation.clock.runFor(3 * SETTLE_MS);
    expect(simulation.streamWrites).toEqual([]);
    routers.forEach((router) => Object.assign(router, { isUpToDate: true }));
    await simulation.clock.runFor(3 * SETTLE_MS);
    routers.splice(0).forEach(simulation.removeRouter);
    const [fresh] = await startRouters(simulation, 1);
    const found = await findOrigin(simulation, fresh, Simulation.createAttempt('s2', 's1'));
    expect(getVersion(found)).toEqual('v1');
  });

  it('is unknown for a moment while the store is away, and known after it', async () => {
    // Guards against routers that guess, or refuse for good, while they cannot read what is stored.
    const simulation = Simulation.createSimulation();
    simulation.setTargets([...OLD, ...NEW]);
    const routers = await startRouters(simulation, 1);
    routers[0].origins.recordBegun(Simulation.createAttempt('s1'), V1);
    await simulation.clock.runFor(SETTLE_MS);
    routers.splice(0).forEach(simulation.removeRouter);
    const started = await startRouters(simulation, 1);
    started.forEach((router) => Object.assign(router, { isUpToDate: false }));
    const early = await findOrigin(simulation, started[0], Simulation.createAttempt('s2', 's1'));
    expect(early?.kind === 'unknown' && early.isTemporary).toEqual(true);
    started.forEach((router) => Object.assign(router, { isUpToDate: true }));
    const found = await findOrigin(simulation, started[0], Simulation.createAttempt('s3', 's1'));
    expect(getVersion(found)).toEqual('v1');
  });

  it('is unknown where stored entries are damaged or contradict each other', async () => {
    // Guards against entries of another writer that end a router or choose a version.
    const simulation = Simulation.createSimulation();
    simulation.setTargets([...OLD, ...NEW]);
    const routers = await startRouters(simulation, 1);
    routers[0].origins.recordBegun(Simulation.createAttempt('s1'), V1);
    routers[0].origins.recordBegun(Simulation.createAttempt('s2'), V1);
    await simulation.clock.runFor(SETTLE_MS);
    const [[key, value] = ['', '']] = simulation.storedStreams;
    const contrary = value.replace('"v1"', '"v2"').replace(/\["","(.{12})[^"]*"/, '["","$1"');
    const odd = [
      '{',
      'null',
      '[]',
      '{"builds":7}',
      '['.repeat(100_000),
      '{"builds":[{"targets":"x"}]}',
    ];
    [contrary, ...odd].forEach((text, index) =>
      simulation.storedStreams.set(`${key}${index}`, text),
    );
    routers.splice(0).forEach(simulation.removeRouter);
    const [fresh] = await startRouters(simulation, 1);
    const contested = await findOrigin(simulation, fresh, Simulation.createAttempt('s3', 's1'));
    expect(getVersion(contested)).toEqual('unknown');
    const sound = await findOrigin(simulation, fresh, Simulation.createAttempt('s4', 's2'));
    expect(getVersion(sound)).toEqual('v1');
  });
});
