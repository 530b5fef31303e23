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
    ...change,
  };
}

interface Engine {
  readonly id: string;
  readonly zone: string;
  /** When its last prompt will have been read. */
  freeAtMs: number;
  /** Ends of prompts, as a report counts them. */
  readonly endsMs: number[];
}

/** Prompts of a second each, from routers that know only what they ask; waits to the first event. */
function playPrompts(
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

/** Beside other prompts of 8,000 tokens, at engines that read eight in a millisecond. */
function chooseForPrompt(
  question: Pick<EnginePlacement.EnginePlacementQuestion, 'views' | 'zone' | 'promptTokens'>,
) {
  return EnginePlacement.chooseEngines({
    ...question,
    usualPromptTokens: 8_000,
    prefillMsPerToken: 0.125,
  });
}

function pickAny(engines: readonly Engine[], nextRandom: () => number): Engine {
  return engines[Math.floor(nextRandom() * engines.length)] as Engine;
}

/** As an engine reports it, a tenth of a second late. */
function createReport(engine: Engine, nowMs: number): EngineView {
  const countedMs = nowMs - 100;
  const open = engine.endsMs.filter((end) => end > countedMs && end - 1_000 < nowMs);
  const prefilling = Math.min(1, open.length);
  const queued = open.length - prefilling;
  return createView({ id: engine.id, zone: engine.zone, prefilling, queued });
}

describe('engine placement', () => {
  it('keeps prompts apart that one router alone would send to the same engine', () => {
    // Several routers each send prompts that take a second to read. By chance they meet at an engine,
    // and shoppers wait for the sum of all prompts before theirs while other engines idle.
    const alone = playPrompts(1, (engines, _nowMs, nextRandom) => pickAny(engines, nextRandom));
    const asked = playPrompts(1, (engines, nowMs, nextRandom) => {
      const sample = ZONES.flatMap((zone) => {
        const local = engines.filter((engine) => engine.zone === zone);
        return [pickAny(local, nextRandom), pickAny(local, nextRandom)];
      });
      const views = sample.map((engine) => createReport(engine, nowMs));
      const zone = ZONES[Math.floor(nextRandom() * 3)] ?? 'a';
      const placed = chooseForPrompt({ views, zone, promptTokens: 8_000 });
      return engines.find(({ id }) => id === placed?.target) as Engine;
    });
    const p95 = Math.floor(alone.length * 0.95);
    expect(alone[p95] ?? 0).toBeGreaterThan(2_000);
    expect(asked[p95] ?? 0).toBeLessThan(1_500);
  });

  it('finds the engine that keeps the prompt of a caller that comes back', () => {
    // A router dies with the streams it relays. Their callers come back to other routers, which asked
    // engines at random and had most prompts read once more, while engines were short after the crash.
    const nextRandom = Random.createRandom(7);
    const engines = Array.from({ length: 24 }, (_one, index) =>
      createView({ id: `e${index}`, zone: ZONES[index % 3] ?? 'a' }),
    );
    const addLoad = (view: EngineView) => ({ ...view, prefilling: nextRandom() < 0.4 ? 1 : 0 });
    const prompts = Array.from({ length: 200 }, (_one, index) => `prompt ${index}`);
    const choose = (sample: readonly EngineView[], zone: string, holder?: string) => {
      const views = sample.map((view) => ({
        ...addLoad(view),
        keptTokens: view.id === holder ? 8_000 : 0,
      }));
      return chooseForPrompt({ views, zone, promptTokens: 8_000 })?.target;
    };
    const found = prompts.filter((prompt) => {
      const sample = EnginePlacement.selectCandidates(engines, prompt, () => 2);
      expect(sample.length).toEqual(6);
      const first = choose(sample, 'a');
      return (
        choose(
          EnginePlacement.selectCandidates(engines, prompt, () => 2),
          'b',
          first,
        ) === first
      );
    });
    expect(found.length).toBeGreaterThan(180);
    const counts = new Map<string, number>();
    for (const prompt of prompts) {
      for (const { id } of EnginePlacement.selectCandidates(engines, prompt, () => 2)) {
        counts.set(id, (counts.get(id) ?? 0) + 1);
      }
    }
    // 1,200 places on 24 engines: no engine is asked for far more prompts than another.
    expect(Math.max(...counts.values())).toBeLessThan(80);
    expect(Math.min(...counts.values())).toBeGreaterThan(25);
  });

  it('asks about as many engines in five zones as in three, and one of each zone', () => {
    // Each question is a check at an engine and mostly a new connection. With two engines of each zone, a
    // fleet of five zones asked ten engines for every prompt, and paid more for that than for copies.
    const countAsked = (zones: readonly string[]) => {
      const engines = Array.from({ length: 100 }, (_one, index) =>
        createView({ id: `e${index}`, zone: zones[index % zones.length] ?? 'a' }),
      );
      const sample = EnginePlacement.selectCandidates(engines, 'prompt', (zone) =>
        EnginePlacement.computeZoneSample(zone === 'a', zones.length),
      );
      const count = (zone: string) => sample.filter((engine) => engine.zone === zone).length;
      return zones.map(count);
    };
    expect(countAsked(['a'])).toEqual([2]);
    expect(countAsked(['a', 'b'])).toEqual([2, 2]);
    expect(countAsked(['a', 'b', 'c'])).toEqual([2, 2, 2]);
    expect(countAsked(['a', 'b', 'c', 'd'])).toEqual([2, 1, 1, 1]);
    expect(countAsked(['a', 'b', 'c', 'd', 'e'])).toEqual([2, 1, 1, 1, 1]);
  });

  it('counts kept parts of a prompt only behind all parts before them', () => {
    const parts = [
      { id: 'shared', tokens: 200 },
      { id: 'own', tokens: 8_000 },
    ];
    const count = (kept: readonly (readonly [string, number])[]) =>
      EnginePlacement.computeCachedTokens(parts, new Map(kept));
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

  it('keeps the copy in another zone, which the next crash is unlikely to take', () => {
    const views = [
      createView({ id: 'a1' }),
      createView({ id: 'a2' }),
      createView({ id: 'b1', zone: 'b', running: 9 }),
    ];
    const placed = chooseForPrompt({ views, zone: 'a', promptTokens: 8_000 });
    const expected = { target: 'a1', backup: 'b1', promptsAhead: 0, firstEventMs: 1_000 };
    expect(placed).toEqual(expected);
  });

  it('keeps the copy near the router when the run is in another zone', () => {
    // The engines of the router's zone come back from a crash while runs go on in another zone. Then
    // the link between the zones is cut, and only a copy on this side can be reached.
    const views = [
      createView({ id: 'a1', running: 1 }),
      createView({ id: 'b1', zone: 'b' }),
      createView({ id: 'c1', zone: 'c', running: 4 }),
    ];
    const placed = chooseForPrompt({ views, zone: 'c', promptTokens: 8_000 });
    const expected = { target: 'b1', backup: 'c1', promptsAhead: 0, firstEventMs: 1_000 };
    expect(placed).toEqual(expected);
  });

  it('takes a copy in the same zone over none, and no copy where there is one engine', () => {
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
        zone: 'a',
        promptTokens: 100,
        usualPromptTokens: 8_000,
        prefillMsPerToken: 0.125,
      }),
    ).toEqual(undefined);
  });

  it('leaves an engine without room for the prompt to the last', () => {
    // An engine whose memory is full preempts a stream in the middle of its output for a new prompt.
    const views = [
      createView({ id: 'full', usedTokens: 80_000 }),
      createView({ id: 'busy', zone: 'b', prefilling: 2, running: 5 }),
    ];
    const placed = chooseForPrompt({ views, zone: 'a', promptTokens: 8_000 });
    expect(placed?.target).toEqual('busy');
  });
});
