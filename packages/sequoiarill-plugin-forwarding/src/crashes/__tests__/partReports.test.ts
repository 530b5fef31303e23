import { describe, it } from 'node:test';

import * as Decisions from '@sequoiarill/decisions';
import { expect } from 'earl';

import * as Fakes from '../../__tests__/fakeDependencies';
import * as EngineSimulations from './engineSimulation';
import type { EngineSimulationOptions, SimulationResult } from './engineSimulation';
import * as RouterSimulations from './routerSimulation';
import type { RouterSimulation } from './routerSimulation';

const BAD = 'bad0';
const MIDDLE_PARTS = ['mid1', 'mid2', 'mid3', 'mid4', 'mid5'];
const SEEDS = [1, 2];
const ROUTERS = 7;
const DURATION_MS = 14_000;
/** Requests with the part that may reach an engine later than 3 s after the fifth crash. */
const MAX_LATE_SENDS = 3;

function pickMiddle(draw: () => number): string {
  return MIDDLE_PARTS[Math.floor(draw() * MIDDLE_PARTS.length)] ?? '';
}

const OPTIONS: Omit<EngineSimulationOptions, 'seed'> = {
  engines: 14,
  badParts: [BAD],
  badPerSecond: 3,
  badFromMs: 2_000,
  answerMs: 3_000,
  soundPerSecond: 20,
  holdMs: 100,
  crashAfterMs: 60,
  chancePerSecond: 0,
  listParts: (bad, draw) => ['first', ...(bad === undefined ? [] : [bad]), pickMiddle(draw)],
};

async function runSeeds(
  change: Partial<EngineSimulationOptions>,
  prepare: (simulation: RouterSimulation) => void = () => undefined,
): Promise<readonly SimulationResult[]> {
  const results: SimulationResult[] = [];
  for (const seed of SEEDS) {
    const simulation = RouterSimulations.simulateRouters(ROUTERS);
    prepare(simulation);
    const options = { ...OPTIONS, ...change, seed };
    results.push(await EngineSimulations.runEngineSimulation(simulation, options, DURATION_MS));
    simulation.stop();
  }
  return results;
}

function checkFound(results: readonly SimulationResult[]): void {
  expect(Math.max(...results.map(({ lateSends }) => lateSends))).toBeLessThan(MAX_LATE_SENDS + 1);
  expect(results.flatMap(({ wrongBlocks }) => wrongBlocks)).toEqual([]);
  expect(results.map(({ soundRefused }) => soundRefused)).toEqual(results.map(() => 0));
}

describe('a part of prompts that crashes engines', () => {
  const cases: readonly (readonly [string, Partial<EngineSimulationOptions>])[] = [
    ['in the middle of prompts', {}],
    [
      'at the beginning of prompts',
      {
        listParts: (bad, draw) => [bad ?? 'first', pickMiddle(draw)],
      },
    ],
    ['beside another such part', { badParts: [BAD, 'bad1'] }],
    ['where it comes twelve times a second', { badPerSecond: 12 }],
    ['where it comes once in 1.5 seconds', { badPerSecond: 0.67 }],
    ['by engines that hold requests for 1.4 s', { holdMs: 1_400 }],
    ['from the first request on', { holdMs: 1_400, badFromMs: 0 }],
    [
      'always beside the same sound part',
      {
        listParts: (bad, draw) =>
          bad === undefined ? ['first', pickMiddle(draw)] : ['first', bad, 'mid1'],
      },
    ],
    [
      'in requests of two organisations',
      { organisation: (draw) => (draw() < 0.5 ? 'shop' : 'bakery') },
    ],
    [
      'where all engines crash before anything is answered',
      { engines: 4, restartMs: 700, badFromMs: 0 },
    ],
    ['beside few sound requests', { soundPerSecond: 3, engines: 25 }],
  ];
  for (const [name, change] of cases) {
    it(`is found ${name}, and sound requests are served`, async () => {
      // Guards against evidence that never adds up, and against blaming parts that crashed runs held as well.
      checkFound(await runSeeds(change));
    });
  }

  it('is found while the store is unavailable', async () => {
    // Guards against blocks that only the store distributes.
    checkFound(await runSeeds({}, (simulation) => simulation.setStoreUnavailable(true)));
  });
});

describe('routers that count the crashes of a part', () => {
  it('may be killed in the middle', async () => {
    // Guards against evidence that ends with the two routers that hold it.
    const simulation = RouterSimulations.simulateRouters(ROUTERS);
    const names = simulation.routers.map(({ name }) => name);
    const holders = Decisions.sortByRank(names, BAD).slice(0, 2);
    const others = simulation.routers.filter(({ name }) => !holders.includes(name));
    const engines = EngineSimulations.createEngineSimulation(simulation, { ...OPTIONS, seed: 1 });
    engines.setRouters(() => others);
    engines.start();
    while (engines.getResult().crashes < 2) await simulation.clock.runFor(50);
    simulation.routers.filter((router) => !others.includes(router)).forEach(simulation.killRouter);
    await simulation.clock.runFor(DURATION_MS);
    engines.stop();
    checkFound([engines.getResult()]);
    simulation.stop();
  });

  it('get a few messages for each run that a lost zone breaks off, and block nothing', async () => {
    // Guards against a lost zone whose runs are each reported to the whole fleet.
    const simulation = RouterSimulations.simulateRouters(300);
    await simulation.clock.runFor(1_100);
    const callsBefore = simulation.countCalls();
    for (let index = 0; index < 1_000; index += 1) {
      const router = simulation.routers[index % 300];
      const parts = [`rare${index}`, `last${index}`].map((id) => ({ id, tokens: 100 }));
      const request = { ...Fakes.createRequest(Fakes.createRoute()), promptParts: parts };
      const target = Fakes.createTarget(`t${index % 40}`);
      const contentKey = index.toString(16).padStart(16, '0');
      await router?.guard.recordDisconnect({
        request: { ...request, contentKey },
        target,
        hasHead: true,
        ranMs: 900,
      });
    }
    await simulation.clock.runFor(3_000);
    expect(simulation.countCalls() - callsBefore).toBeLessThan(2_001);
    expect(simulation.routers.flatMap(({ parts }) => parts.dumpState().blocked)).toEqual([]);
    simulation.stop();
  });
});

describe('engines that crash by themselves', () => {
  const chance = { badParts: [], badPerSecond: 0, chancePerSecond: 4, holdMs: 1_400 };

  it('have no part blocked that is new and not answered yet', async () => {
    // Guards against blaming a new part for crashes that happened by chance.
    const listParts: EngineSimulationOptions['listParts'] = (_bad, _draw, nowMs) => [
      'first',
      `new${Math.floor(nowMs / 1_000)}`,
    ];
    checkFound(await runSeeds({ ...chance, listParts }));
  });

  it('have no part blocked that is rarely sent', async () => {
    // Guards against crashes by chance that add up because answers are rare.
    const listParts: EngineSimulationOptions['listParts'] = (_bad, draw) => [
      'first',
      `rare${Math.floor(draw() * 40)}`,
    ];
    checkFound(await runSeeds({ ...chance, listParts }));
  });
});

/** Crashes engines until the part is blocked at all routers. */
async function simulateBlock(simulation: RouterSimulation, seed = 1) {
  const engines = EngineSimulations.createEngineSimulation(simulation, { ...OPTIONS, seed });
  engines.start();
  await simulation.clock.runFor(8_000);
  engines.stop();
  await simulation.clock.runFor(5_000);
  return engines;
}

function countBlocking({ routers }: RouterSimulation): number {
  return routers.filter(({ parts }) => parts.dumpState().blocked.includes(BAD)).length;
}

describe('a blocked part', () => {
  it('is known to a router that starts later, also while the store is unavailable', async () => {
    // Guards against a restarted router that crashes as many engines again.
    for (const isUnavailable of [false, true]) {
      const simulation = RouterSimulations.simulateRouters(ROUTERS);
      simulation.setStoreUnavailable(isUnavailable);
      await simulateBlock(simulation);
      expect(countBlocking(simulation)).toEqual(ROUTERS);
      const started = simulation.addRouter();
      await simulation.clock.runFor(3_000);
      expect(started.parts.dumpState().blocked).toEqual([BAD]);
      simulation.stop();
    }
  });

  it('is known to a router that starts after the store has lost its entry', async () => {
    // Guards against a store that was restored from an older copy, and routers that were killed after that.
    const simulation = RouterSimulations.simulateRouters(ROUTERS);
    await simulateBlock(simulation);
    simulation.clearStore();
    const started = simulation.addRouter();
    await simulation.clock.runFor(3_000);
    expect(started.parts.dumpState().blocked).toEqual([BAD]);
    simulation.stop();
  });

  it('is found inside an isolated zone, and known everywhere afterwards', async () => {
    // Guards against aggregators that are all on the other side of a partition.
    const simulation = RouterSimulations.simulateRouters(9);
    simulation.isolateZone(0);
    const inside = simulation.routers.filter(({ zone }) => zone === 0);
    const engines = EngineSimulations.createEngineSimulation(simulation, { ...OPTIONS, seed: 1 });
    engines.setRouters(() => inside);
    engines.start();
    await simulation.clock.runFor(11_000);
    engines.stop();
    expect(engines.getResult().lateSends).toBeLessThan(MAX_LATE_SENDS + 1);
    expect(countBlocking(simulation)).toEqual(inside.length);
    simulation.isolateZone(undefined);
    await simulation.clock.runFor(3_000);
    expect(countBlocking(simulation)).toEqual(9);
    simulation.stop();
  });

  it('is tried by one request of the whole fleet after its time', async () => {
    // Guards against one crash for each router when a block ends.
    const simulation = RouterSimulations.simulateRouters(3);
    const engines = await simulateBlock(simulation);
    const { crashes } = engines.getResult();
    for (let minute = 0; minute < 5; minute += 1) {
      for (const router of simulation.routers) {
        await Promise.all([engines.sendBad(BAD, router), simulation.clock.runFor(20_000)]);
      }
    }
    expect(engines.getResult().crashes - crashes).toEqual(1);
    expect(countBlocking(simulation)).toEqual(3);
    simulation.stop();
  });

  it('is lifted everywhere when a request with it is answered', async () => {
    // Guards against sound requests that stay refused after engines were mended.
    const simulation = RouterSimulations.simulateRouters(ROUTERS);
    await simulateBlock(simulation);
    const mended = EngineSimulations.createEngineSimulation(simulation, {
      ...OPTIONS,
      badParts: [],
      seed: 2,
    });
    for (let minute = 0; minute < 4; minute += 1) {
      for (const router of simulation.routers) {
        await Promise.all([mended.sendBad(BAD, router), simulation.clock.runFor(10_000)]);
      }
    }
    expect(countBlocking(simulation)).toEqual(0);
    simulation.stop();
  });

  it('of one organisation refuses no other one until it crashes an engine there as well', async () => {
    // Guards against an organisation that has a part of another one blocked.
    const simulation = RouterSimulations.simulateRouters(ROUTERS);
    await simulateBlock(simulation);
    const [router] = simulation.routers;
    if (router === undefined) throw new Error('no router');
    const holder = { id: 'r', parts: ['first', BAD, 'last'] };
    expect(router.parts.findBlock({ ...holder, organisation: 'shop' })?.part).toEqual(BAD);
    expect(router.parts.findBlock({ ...holder, organisation: 'bakery' })).toEqual(undefined);
    simulation.stop();
  });
});
