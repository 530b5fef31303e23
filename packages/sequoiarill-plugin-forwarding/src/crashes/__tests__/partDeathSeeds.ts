/** The property that a part which crashes engines begins hardly ever again, whatever way they die. */
import { it } from 'node:test';

import { expect } from 'earl';

import * as EngineSimulations from './engineSimulation';
import type { EngineSimulationOptions, SimulationResult } from './engineSimulation';
import * as RouterSimulations from './routerSimulation';

const BAD = 'bad0';
const MIDDLE_PARTS = ['mid1', 'mid2', 'mid3', 'mid4', 'mid5'];
const DURATION_MS = 16_000;
const BAD_FROM_MS = 4_000;
const ENDING_MS = 3_000;
const MAX_LATE = 3;
/** Share of the sound requests long after the crashes whose first attempt begins. */
const MIN_BEGUN_SHARE = 0.9;

type Draw = () => number;

interface Fleet {
  readonly routers: number;
  /** Routers that stand still, and get no requests. */
  readonly paused: number;
  /** Routers that end without notice before the crashes. */
  readonly killed: number;
}

function pickOne<Item>(items: readonly Item[], draw: Draw): Item {
  return items[Math.floor(draw() * items.length)] as Item;
}

function pickFleet(draw: Draw): Fleet {
  const routers = pickOne([7, 9, 24], draw);
  return { routers, paused: pickOne([0, 0, 1, 2], draw), killed: pickOne([0, 0, 1], draw) };
}

function pickOptions(seed: number, draw: Draw): EngineSimulationOptions {
  const isSilent = draw() < 0.5;
  const isLeaving = isSilent && draw() < 0.4;
  const slowestMs = pickOne([0, 0, 400], draw);
  return {
    seed,
    engines: 24,
    badParts: [BAD],
    badPerSecond: pickOne([2, 3, 6], draw),
    badFromMs: BAD_FROM_MS,
    soundPerSecond: 20,
    answerMs: 3_000,
    holdMs: pickOne([50, 300, 1_200], draw),
    crashAfterMs: pickOne([20, 60, 250, 700, 1_000], draw),
    chancePerSecond: 0,
    restartMs: pickOne([300, 1_500, 3_000], draw),
    crashWay: isSilent ? 'silence' : 'reset',
    keepsAddress: draw() < 0.5,
    noticeMs: (next) => next() * slowestMs,
    ...(isLeaving ? { leaveMs: 1_500 } : {}),
    listParts: (bad, next) => [
      'first',
      ...(bad === undefined ? [] : [bad]),
      pickOne(MIDDLE_PARTS, next),
    ],
  };
}

async function runSeed(seed: number): Promise<SimulationResult> {
  const draw = EngineSimulations.createDraw(seed * 7_919);
  const { routers: count, paused, killed } = pickFleet(draw);
  const simulation = RouterSimulations.simulateRouters(count);
  const options = pickOptions(seed, draw);
  const engines = EngineSimulations.createEngineSimulation(simulation, options);
  const { routers } = simulation;
  engines.setRouters(() => routers.slice(paused + killed));
  engines.start();
  await simulation.clock.runFor(BAD_FROM_MS);
  routers.slice(0, paused).forEach(simulation.pauseRouter);
  routers.slice(paused, paused + killed).forEach(simulation.killRouter);
  await simulation.clock.runFor(DURATION_MS - BAD_FROM_MS);
  engines.stop();
  // Requests that were sent last begin as well.
  await simulation.clock.runFor(ENDING_MS);
  const result = engines.getResult();
  simulation.stop();
  return result;
}

export function registerSeeds(first: number, last: number): void {
  for (let seed = first; seed <= last; seed += 1) {
    it(`a part that crashes engines begins hardly ever again, whatever way they die, seed ${seed}`, async () => {
      // Guards against ways of dying that are not counted, and against blocks that wait for a router or come after a queue.
      const result = await runSeed(seed);
      expect(result.lateBegun).toBeLessThan(MAX_LATE + 1);
      expect(result.wrongBlocks).toEqual([]);
      expect(result.soundRefused).toEqual(0);
      expect(result.soundBegun).toBeGreaterThanOrEqual(MIN_BEGUN_SHARE);
    });
  }
}
