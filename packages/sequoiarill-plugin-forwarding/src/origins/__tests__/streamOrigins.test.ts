import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Simulation from './originSimulation';

const { V1, V2, OLD, NEW, SETTLE_MS, startRouters, findOrigin, getVersion } = Simulation;
/** A caller that cannot be served is told so within this time. */
const REFUSAL_MS = 1_000;
const RESUMABLE_MS = Simulation.ROUTE.timeoutMs + 5_000;

describe('the origin of a stream', () => {
  it('is known after its router and all other routers of the zone have ended', async () => {
    // Guards against knowledge that ends with one process or one zone.
    const simulation = Simulation.createSimulation();
    simulation.setTargets([...OLD, ...NEW]);
    const [first, second, , ...others] = await startRouters(simulation, 3);
    first.origins.recordBegun(Simulation.createAttempt('s1'), V1);
    await simulation.clock.runFor(SETTLE_MS);
    [first, others[0], others[3]].forEach((router) => router && simulation.removeRouter(router));
    const found = await findOrigin(simulation, second, Simulation.createAttempt('s2', 's1'));
    expect(getVersion(found)).toEqual('v1');
  });

  it('is told to three routers while several builds serve, and to none while one does', async () => {
    // Guards against messages for each stream of a fleet in which there is nothing to confuse.
    const simulation = Simulation.createSimulation();
    simulation.setTargets(OLD);
    const [first, second] = await startRouters(simulation, 4);
    first.origins.recordBegun(Simulation.createAttempt('s1'), V1);
    await simulation.clock.runFor(SETTLE_MS);
    expect(simulation.reports).toEqual([]);
    const found = await findOrigin(simulation, second, Simulation.createAttempt('s2', 's1'));
    expect(getVersion(found)).toEqual('v1');
    simulation.setTargets([...OLD, ...NEW]);
    await simulation.clock.runFor(SETTLE_MS);
    expect(simulation.reports).toEqual([1, 1, 1]);
  });

  it('is known for streams that began before a second build appeared', async () => {
    // Guards against streams that nobody was told of when the other version came.
    const simulation = Simulation.createSimulation();
    simulation.setTargets(OLD);
    const [first, second] = await startRouters(simulation, 2);
    first.origins.recordBegun(Simulation.createAttempt('s1'), V1);
    simulation.setTargets([...OLD, ...NEW]);
    await simulation.clock.runFor(SETTLE_MS);
    simulation.removeRouter(first);
    const found = await findOrigin(simulation, second, Simulation.createAttempt('s2', 's1'));
    expect(getVersion(found)).toEqual('v1');
  });

  it('is known to routers that replace those that remembered it', async () => {
    // Guards against knowledge that is lost when routers are restarted one after the other.
    const simulation = Simulation.createSimulation();
    simulation.setTargets([...OLD, ...NEW]);
    const routers = await startRouters(simulation, 2);
    routers[0].origins.recordBegun(Simulation.createAttempt('s1'), V1);
    await simulation.clock.runFor(SETTLE_MS);
    for (const router of routers) {
      const ended = router.origins.handOver();
      await simulation.clock.runFor(SETTLE_MS);
      await ended;
      simulation.removeRouter(router);
      simulation.addRouter('a');
      await simulation.clock.runFor(SETTLE_MS);
    }
    const fresh = simulation.addRouter('b');
    const found = await findOrigin(simulation, fresh, Simulation.createAttempt('s2', 's1'));
    expect(getVersion(found)).toEqual('v1');
  });

  it('is not taken for the only version that serves after all routers were replaced', async () => {
    // Guards against fresh routers that do not see the version that began the stream any more.
    const simulation = Simulation.createSimulation();
    simulation.setTargets([...OLD, ...NEW]);
    const routers = await startRouters(simulation, 1);
    routers[0].origins.recordBegun(Simulation.createAttempt('s1'), V1);
    routers.forEach(simulation.removeRouter);
    simulation.setTargets(NEW);
    const fresh = simulation.addRouter('a');
    const soon = await findOrigin(simulation, fresh, Simulation.createAttempt('s2', 's1'));
    expect(soon?.kind === 'unknown' && !soon.isTemporary).toEqual(true);
    await simulation.clock.runFor(RESUMABLE_MS + SETTLE_MS);
    const later = await findOrigin(simulation, fresh, Simulation.createAttempt('s3', 's9'));
    expect(getVersion(later)).toEqual('v2');
  });

  it('is not known to a router that hears neither the store nor other routers', async () => {
    // Guards against a partitioned router that believes in the only version that it has seen.
    const simulation = Simulation.createSimulation();
    simulation.setTargets(OLD);
    const [first, second] = await startRouters(simulation, 1);
    first.isUpToDate = false;
    first.isReached = false;
    simulation.setTargets([...OLD, ...NEW]);
    second.origins.recordBegun(Simulation.createAttempt('s1'), V2);
    const found = await findOrigin(simulation, first, Simulation.createAttempt('s2', 's1'));
    expect(found).toEqual({ kind: 'unknown', isTemporary: true, asked: 2, answered: 0 });
  });

  it('is not concluded from the versions that a router knew before it was cut off', async () => {
    // Guards against a router out of step that takes the only version that it has heard of for the one that began the stream.
    const simulation = Simulation.createSimulation();
    simulation.setTargets(OLD);
    const [first, second] = await startRouters(simulation, 1);
    Object.assign(first, { frozenTargets: OLD, isReached: false });
    simulation.setTargets([...OLD, ...NEW]);
    second.origins.recordBegun(Simulation.createAttempt('s1'), V2);
    const attempt = Simulation.createAttempt('s2', 's1');
    const found = await findOrigin(simulation, first, attempt, REFUSAL_MS);
    expect(found).toEqual({ kind: 'unknown', isTemporary: true, asked: 2, answered: 0 });
    first.isReached = true;
    expect(getVersion(await findOrigin(simulation, first, attempt, REFUSAL_MS))).toEqual('v2');
  });

  it('is not concluded by a router on behalf of another one from what it knew before', async () => {
    // Guards against two routers that are cut off together, of which each believes the other.
    const simulation = Simulation.createSimulation();
    simulation.setTargets(OLD);
    const [first, second, third] = await startRouters(simulation, 1);
    for (const router of [first, second]) Object.assign(router, { frozenTargets: OLD });
    simulation.setTargets([...OLD, ...NEW]);
    third?.origins.recordBegun(Simulation.createAttempt('s1'), V2);
    Object.assign(third ?? {}, { isReached: false });
    const attempt = Simulation.createAttempt('s2', 's1');
    const found = await findOrigin(simulation, first, attempt, REFUSAL_MS);
    expect(found).toEqual({ kind: 'unknown', isTemporary: true, asked: 2, answered: 1 });
  });

  it('is known through a router that hears the store where this one does not', async () => {
    // Guards against refusals of all streams at a router that is cut off from the store alone.
    const simulation = Simulation.createSimulation();
    simulation.setTargets(OLD);
    const [first, second] = await startRouters(simulation, 1);
    second.origins.recordBegun(Simulation.createAttempt('s1'), V1);
    Object.assign(first, { frozenTargets: OLD });
    const attempt = Simulation.createAttempt('s2', 's9');
    const found = await findOrigin(simulation, first, attempt, REFUSAL_MS);
    expect(getVersion(found)).toEqual('v1');
  });

  it('is refused only for a moment where a router that may know it does not answer', async () => {
    // Guards against streams that are lost for good because the routers that know them are paused for a moment.
    const simulation = Simulation.createSimulation();
    simulation.setTargets([...OLD, ...NEW]);
    const [first, second, third] = await startRouters(simulation, 1);
    const attempt = Simulation.createAttempt('s2', 's1');
    const known = await findOrigin(simulation, first, attempt);
    expect(known).toEqual({ kind: 'unknown', isTemporary: false, asked: 2, answered: 2 });
    second.isReached = false;
    const partly = await findOrigin(simulation, first, attempt);
    expect(partly).toEqual({ kind: 'unknown', isTemporary: true, asked: 2, answered: 1 });
    [third, second].forEach((router) => Object.assign(router ?? {}, { isReached: false }));
    const silent = await findOrigin(simulation, first, attempt);
    expect(silent).toEqual({ kind: 'unknown', isTemporary: true, asked: 2, answered: 0 });
  });

  it('is known during an outage of the store', async () => {
    // Guards against refusals of all streams of a router that ends while the store is away.
    const simulation = Simulation.createSimulation();
    simulation.setTargets(OLD);
    const routers = await startRouters(simulation, 1);
    routers[0].origins.recordBegun(Simulation.createAttempt('s1'), V1);
    routers.forEach((router) => {
      router.isUpToDate = false;
    });
    await simulation.clock.runFor(SETTLE_MS);
    routers[0].origins.recordBegun(Simulation.createAttempt('s2'), V1);
    await simulation.clock.runFor(SETTLE_MS);
    simulation.removeRouter(routers[0]);
    for (const id of ['s1', 's2']) {
      const attempt = Simulation.createAttempt(`${id}-again`, id);
      const found = await findOrigin(simulation, routers[1], attempt);
      expect(getVersion(found)).toEqual('v1');
    }
  });

  it('is told to no other organisation', async () => {
    // Guards against answers about streams of a stranger who uses the same id.
    const simulation = Simulation.createSimulation();
    simulation.setTargets([...OLD, ...NEW]);
    const [first, second] = await startRouters(simulation, 1);
    first.origins.recordBegun(Simulation.createAttempt('s1'), V1);
    second.origins.recordBegun(
      Simulation.createAttempt('s1', undefined, { organisation: 'x' }),
      V2,
    );
    await simulation.clock.runFor(SETTLE_MS);
    const own = await findOrigin(simulation, second, Simulation.createAttempt('s2', 's1'));
    expect(getVersion(own)).toEqual('v1');
    const strange = Simulation.createAttempt('s3', 's1', { organisation: 'y' });
    expect(getVersion(await findOrigin(simulation, first, strange))).toEqual('unknown');
  });

  it('stays what it was when another stream names it without going on with it', async () => {
    // Guards against a stream of its own that replaces what is known of the one that it names.
    const simulation = Simulation.createSimulation();
    simulation.setTargets([...OLD, ...NEW]);
    const [first, second] = await startRouters(simulation, 1);
    first.origins.recordBegun(Simulation.createAttempt('s1'), V1);
    const fresh = { ...Simulation.createAttempt('s2'), resumedRequestId: 's1' };
    second.origins.recordBegun(fresh, V2);
    await simulation.clock.runFor(SETTLE_MS);
    for (const router of [first, second]) {
      const found = await findOrigin(simulation, router, Simulation.createAttempt('s3', 's1'));
      expect(getVersion(found)).toEqual('v1');
    }
  });

  it('is known by each attempt of its caller, and for as long as the last one may be resumed', async () => {
    // Guards against callers that name their last attempt, and against long streams.
    const simulation = Simulation.createSimulation();
    simulation.setTargets([...OLD, ...NEW]);
    const [first, second] = await startRouters(simulation, 1);
    first.origins.recordBegun(Simulation.createAttempt('s1'), V1);
    await simulation.clock.runFor(RESUMABLE_MS - SETTLE_MS);
    second.origins.recordBegun(Simulation.createAttempt('s2', 's1', { build: V1 }), V1);
    await simulation.clock.runFor(RESUMABLE_MS / 2);
    for (const resumes of ['s1', 's2']) {
      const attempt = Simulation.createAttempt('s3', resumes);
      expect(getVersion(await findOrigin(simulation, first, attempt))).toEqual('v1');
    }
    await simulation.clock.runFor(RESUMABLE_MS);
    const late = Simulation.createAttempt('s4', 's1');
    expect(getVersion(await findOrigin(simulation, first, late))).toEqual('unknown');
  });

  it('costs two writes to the store for a version that comes and goes', async () => {
    // Guards against calls to the store that grow with routers or streams.
    const simulation = Simulation.createSimulation();
    simulation.setTargets(OLD);
    await startRouters(simulation, 6);
    await simulation.clock.runFor(RESUMABLE_MS);
    expect(simulation.writes.length).toEqual(1);
    simulation.setTargets([...OLD, ...NEW]);
    await simulation.clock.runFor(RESUMABLE_MS * 2);
    simulation.setTargets(OLD);
    await simulation.clock.runFor(RESUMABLE_MS * 2);
    expect(simulation.writes.map((value) => JSON.parse(value) as unknown)).toEqual([
      { builds: [V1] },
      { builds: [V1, V2] },
      { builds: [V1] },
    ]);
  });
});
