import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as EnginePlacement from '../enginePlacement';
import type { EngineView } from '../enginePlacement';
import * as Random from '../simulation/random';

const ZONES = ['a', 'b', 'c'];

function createView(change: Partial<EngineView> & { readonly id: string }): EngineView {
  return {
    zone: 'a',
    running: 0,
    queued: 0,
    prefilling: 0,
    sentSince: 0,
    usedTokens: 0,
    totalTokens: 88_000,
    keptTokens: 0,
    isScarce: false,
    ...change,
  };
}

interface Engine {
  readonly id: string;
  readonly zone: string;
  /** When the prefill of its last prompt ends. */
  freeAtMs: number;
  /** End times of the prefills, from which a load report counts. */
  readonly endsMs: number[];
}

/** Simulates prompts of one second each; returns the sorted waits for the first event. */
function simulatePrompts(
  seed: number,
  pickEngine: (engines: readonly Engine[], nowMs: number, nextRandom: () => number) => Engine,
): readonly number[] {
  const nextRandom = Random.createRandom(seed);
  const engines = Array.from({ length: 24 }, (_one, index): Engine => ({
    id: `e${index}`,
    zone: ZONES[index % 3] ?? 'a',
    freeAtMs: 0,
    endsMs: [],
  }));
  const waits: number[] = [];
  let nowMs = 0;
  while (waits.length < 600) {
    nowMs += Random.sampleExponential(nextRandom, 120);
    const engine = pickEngine(engines, nowMs, nextRandom);
    engine.freeAtMs = Math.max(nowMs, engine.freeAtMs) + 1_000;
    engine.endsMs.push(engine.freeAtMs);
    waits.push(engine.freeAtMs - nowMs);
  }
  return waits.sort((left, right) => left - right);
}

/** Other prompts have 8,000 tokens, and engines prefill eight tokens in a millisecond. */
function chooseForPrompt(
  query: Pick<EnginePlacement.EnginePlacementQuery, 'views' | 'zone' | 'promptTokens'> &
    Partial<EnginePlacement.EnginePlacementQuery>,
) {
  return EnginePlacement.chooseEngines({
    isSameBuild: () => true,
    ...query,
    usualPromptTokens: 8_000,
    prefillMsPerToken: 0.125,
  });
}

function pickAny(engines: readonly Engine[], nextRandom: () => number): Engine {
  return engines[Math.floor(nextRandom() * engines.length)] as Engine;
}

/** The load as the engine reports it, with a lag of 100 ms. */
function createReport(engine: Engine, nowMs: number): EngineView {
  const countedMs = nowMs - 100;
  const unfinished = engine.endsMs.filter((end) => end > countedMs && end - 1_000 < nowMs);
  const prefilling = Math.min(1, unfinished.length);
  const queued = unfinished.length - prefilling;
  return createView({ id: engine.id, zone: engine.zone, prefilling, queued });
}

describe('engine placement', () => {
  it('spreads prompts that routers would send to the same engine without load queries', () => {
    // Several routers send prompts that take a second to prefill. Without queries they collide by
    // chance at an engine, and callers wait for all prompts ahead of theirs while other engines
    // idle.
    const withoutQueries = simulatePrompts(1, (engines, _nowMs, nextRandom) =>
      pickAny(engines, nextRandom),
    );
    const withQueries = simulatePrompts(1, (engines, nowMs, nextRandom) => {
      const sample = ZONES.flatMap((zone) => {
        const local = engines.filter((engine) => engine.zone === zone);
        return [pickAny(local, nextRandom), pickAny(local, nextRandom)];
      });
      const views = sample.map((engine) => createReport(engine, nowMs));
      const zone = ZONES[Math.floor(nextRandom() * 3)] ?? 'a';
      const placement = chooseForPrompt({ views, zone, promptTokens: 8_000 });
      return engines.find(({ id }) => id === placement?.target) as Engine;
    });
    const p95 = Math.floor(withoutQueries.length * 0.95);
    expect(withoutQueries[p95] ?? 0).toBeGreaterThan(2_000);
    expect(withQueries[p95] ?? 0).toBeLessThan(1_500);
  });

  it('finds the engine that caches the prompt of a caller that resumes elsewhere', () => {
    // A router dies with the streams it relays, and their callers resume through other routers.
    // When these queried random engines, most prompts were prefilled again while engines were
    // scarce after the crash.
    const nextRandom = Random.createRandom(7);
    const engines = Array.from({ length: 24 }, (_one, index) =>
      createView({ id: `e${index}`, zone: ZONES[index % 3] ?? 'a' }),
    );
    const addLoad = (view: EngineView) => ({ ...view, prefilling: nextRandom() < 0.4 ? 1 : 0 });
    const prompts = Array.from({ length: 200 }, (_one, index) => `prompt ${index}`);
    const chooseTarget = (sample: readonly EngineView[], zone: string, holder?: string) => {
      const views = sample.map((view) => ({
        ...addLoad(view),
        keptTokens: view.id === holder ? 8_000 : 0,
      }));
      return chooseForPrompt({ views, zone, promptTokens: 8_000 })?.target;
    };
    const foundPrompts = prompts.filter((prompt) => {
      const sample = EnginePlacement.selectCandidates(engines, prompt, () => 2);
      expect(sample.length).toEqual(6);
      const first = chooseTarget(sample, 'a');
      return (
        chooseTarget(
          EnginePlacement.selectCandidates(engines, prompt, () => 2),
          'b',
          first,
        ) === first
      );
    });
    expect(foundPrompts.length).toBeGreaterThan(180);
    const counts = new Map<string, number>();
    for (const prompt of prompts) {
      for (const { id } of EnginePlacement.selectCandidates(engines, prompt, () => 2)) {
        counts.set(id, (counts.get(id) ?? 0) + 1);
      }
    }
    // 1,200 queries to 24 engines: no engine is queried for far more prompts than another.
    expect(Math.max(...counts.values())).toBeLessThan(80);
    expect(Math.min(...counts.values())).toBeGreaterThan(25);
  });

  it('queries about as many engines in five zones as in three, and one of each zone', () => {
    // Each query is a check at an engine and mostly a new connection. With two engines of each
    // zone, a fleet of five zones queried ten engines for every prompt, which cost more than the
    // copies.
    const countQueriedEngines = (zones: readonly string[]) => {
      const engines = Array.from({ length: 100 }, (_one, index) =>
        createView({ id: `e${index}`, zone: zones[index % zones.length] ?? 'a' }),
      );
      const sample = EnginePlacement.selectCandidates(engines, 'prompt', (zone) =>
        EnginePlacement.computeZoneSampleSize(zone === 'a', zones.length),
      );
      const count = (zone: string) => sample.filter((engine) => engine.zone === zone).length;
      return zones.map(count);
    };
    expect(countQueriedEngines(['a'])).toEqual([2]);
    expect(countQueriedEngines(['a', 'b'])).toEqual([2, 2]);
    expect(countQueriedEngines(['a', 'b', 'c'])).toEqual([2, 2, 2]);
    expect(countQueriedEngines(['a', 'b', 'c', 'd'])).toEqual([2, 1, 1, 1]);
    expect(countQueriedEngines(['a', 'b', 'c', 'd', 'e'])).toEqual([2, 1, 1, 1, 1]);
  });

  it('counts a cached part of a prompt only if all parts before it are cached', () => {
    const parts = [
      { id: 'shared', tokens: 200 },
      { id: 'own', tokens: 8_000 },
    ];
    const count = (cachedParts: readonly (readonly [string, number])[]) =>
      EnginePlacement.computeCachedTokens(parts, new Map(cachedParts));
    expect(count([])).toEqual(0);
    expect(count([['own', 8_000]])).toEqual(0);
    expect(count([['shared', 200]])).toEqual(200);
    expect(
      count([
        ['shared', 200],
        ['own', 5_000],
      ]),
    ).toEqual(5_200);
  });

  it('places the copy in another zone, which the next crash is unlikely to affect', () => {
    const views = [
      createView({ id: 'a1' }),
      createView({ id: 'a2' }),
      createView({ id: 'b1', zone: 'b', running: 9 }),
    ];
    const placement = chooseForPrompt({ views, zone: 'a', promptTokens: 8_000 });
    const expected = { target: 'a1', backup: 'b1', promptsAhead: 0, firstEventMs: 1_000 };
    expect(placement).toEqual(expected);
  });

  it('places the copy in the zone of the router when the run is in another zone', () => {
    // The engines of the router's zone restart after a crash while runs continue in another zone.
    // Then the link between the zones fails, and only a copy on this side is reachable.
    const views = [
      createView({ id: 'a1', running: 1 }),
      createView({ id: 'b1', zone: 'b' }),
      createView({ id: 'c1', zone: 'c', running: 4 }),
    ];
    const placement = chooseForPrompt({ views, zone: 'c', promptTokens: 8_000 });
    const expected = { target: 'b1', backup: 'c1', promptsAhead: 0, firstEventMs: 1_000 };
    expect(placement).toEqual(expected);
  });

  it('prefers a copy in the same zone to none, and makes none with a single engine', () => {
    const two = [createView({ id: 'a1' }), createView({ id: 'a2' })];
    expect(chooseForPrompt({ views: two, zone: 'a', promptTokens: 100 })?.backup).toEqual('a2');
    const one = [createView({ id: 'a1' })];
    expect(chooseForPrompt({ views: one, zone: 'a', promptTokens: 100 })).toEqual({
      target: 'a1',
      promptsAhead: 0,
      firstEventMs: 12.5,
    });
    expect(
      EnginePlacement.chooseEngines({
        views: [],
        isSameBuild: () => true,
        zone: 'a',
        promptTokens: 100,
        usualPromptTokens: 8_000,
        prefillMsPerToken: 0.125,
      }),
    ).toEqual(undefined);
  });

  it('places the copy where the run can continue, and none where there is no such engine', () => {
    // Guards against copies at engines of another software version, which cannot be used.
    const views = ['a1', 'b1', 'c2'].map((id) => createView({ id, zone: id.slice(0, 1) }));
    const query = { views, zone: 'a', promptTokens: 100 };
    const isSameBuild = (left: string, right: string) => left.slice(1) === right.slice(1);
    const placement = chooseForPrompt({ ...query, isSameBuild });
    expect([placement?.target, placement?.backup]).toEqual(['a1', 'b1']);
    const alone = { ...query, views: [views[0], views[2]].flatMap((view) => view ?? []) };
    expect(chooseForPrompt({ ...alone, isSameBuild })?.backup).toEqual(undefined);
  });

  it('leaves the last engines of a build to streams that can go on only there', () => {
    // Guards against new streams that take the room of those that come back, and end with the build.
    const views = [
      createView({ id: 'scarce', isScarce: true }),
      createView({ id: 'busy', zone: 'b', prefilling: 1, running: 5 }),
    ];
    const query = { views, zone: 'a', promptTokens: 8_000 };
    expect(chooseForPrompt(query)?.target).toEqual('busy');
    const full = [views[0], createView({ id: 'busy', prefilling: 3, running: 9 })];
    const crowded = { ...query, views: full.flatMap((view) => view ?? []) };
    expect(chooseForPrompt(crowded)?.target).toEqual('scarce');
    expect([2, 3].map((engines) => EnginePlacement.isScarceBuild(engines, 10))).toEqual([
      true,
      false,
    ]);
    expect(EnginePlacement.isScarceBuild(2, 2)).toEqual(false);
  });

  it('chooses an engine without space for the prompt last', () => {
    // An engine whose KV cache is full preempts a running stream for a new prompt.
    const views = [
      createView({ id: 'full', usedTokens: 80_000 }),
      createView({ id: 'busy', zone: 'b', prefilling: 2, running: 5 }),
    ];
    const placement = chooseForPrompt({ views, zone: 'a', promptTokens: 8_000 });
    expect(placement?.target).toEqual('busy');
  });
});
