import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as EnginePlacements from '../enginePlacements';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies } from '../../__tests__/fakeDependencies';

const PARTS = [
  { id: 'shared', tokens: 200 },
  { id: 'own', tokens: 7_800 },
];

/** Four engines in two zones, one with the prompt in its cache; all respond after `answerMs`. */
function createFleetWithCachedPrompt(
  answerMs: number,
  ids: readonly string[] = ['a1', 'a2', 'b1', 'b2'],
): FakeDependencies {
  const fake = Fakes.createFakeDependencies(() => []);
  const engines = ids.map((id) => Fakes.createTarget(id, { zone: id.slice(0, 1) }));
  fake.setTargets(engines);
  engines.forEach(({ id }) => {
    fake.reports.set(id, Fakes.IDLE_REPORT);
    fake.cachedParts.set(id, new Map());
    fake.responseDelayMs.set(id, answerMs);
  });
  fake.cachedParts.set('b2', new Map(PARTS.map(({ id, tokens }) => [id, tokens])));
  return fake;
}

/** Returns where and when a resumed stream is placed. */
async function simulateResume(fake: FakeDependencies, promptHolder?: string) {
  const request = {
    ...Fakes.createRequest(Fakes.createRoute()),
    promptParts: PARTS,
    lastEventId: '7',
    promptHolder,
  };
  let placedMs = Number.POSITIVE_INFINITY;
  const placement = EnginePlacements.chooseEngines(fake.dependencies, request, new Set()).then(
    (pair) => {
      placedMs = fake.clock.getNowMs();
      return pair?.target.id;
    },
  );
  await fake.clock.runFor(2_000);
  return { target: await placement, placedMs };
}

describe('engine placement', () => {
  it('finds the cached prompt of a resumed stream at engines that respond late', async () => {
    // Guards against a prompt that is prefilled again elsewhere because its holder responded late.
    for (const answerMs of [0, 60, 120, 240]) {
      const { target } = await simulateResume(createFleetWithCachedPrompt(answerMs));
      expect(target).toEqual('b2');
    }
  });

  it('asks the engine that brought the first event of a resumed stream', async () => {
    // Guards against a prompt that is prefilled again since its holder is not among the engines that are asked.
    const others = Array.from({ length: 40 }, (_one, index) => `b${index + 3}`);
    const ids = [...others, 'a1', 'b2'];
    const asked = await simulateResume(createFleetWithCachedPrompt(1, ids), 'b2');
    expect(asked.target).toEqual('b2');
    const gone = await simulateResume(createFleetWithCachedPrompt(1, ids), 'b1');
    expect(gone.target).not.toEqual(undefined);
  });

  it('does not wait for silent engines once the cached prompt is found', async () => {
    // Guards against resumed streams that wait for crashed engines.
    const fake = createFleetWithCachedPrompt(1);
    fake.reports.delete('a1');
    fake.cachedParts.delete('a1');
    const { target, placedMs } = await simulateResume(fake);
    expect(target).toEqual('b2');
    expect(placedMs).toBeLessThanOrEqual(40);
  });

  it('places a new stream within the usual timeout when an engine is silent', async () => {
    // Guards against first events that are delayed by crashed engines.
    const fake = createFleetWithCachedPrompt(1);
    fake.reports.delete('a1');
    const request = { ...Fakes.createRequest(Fakes.createRoute()), promptParts: PARTS };
    let placedMs = Number.POSITIVE_INFINITY;
    const placement = EnginePlacements.chooseEngines(fake.dependencies, request, new Set()).then(
      () => {
        placedMs = fake.clock.getNowMs();
      },
    );
    await fake.clock.runFor(2_000);
    await placement;
    expect(placedMs).toBeLessThanOrEqual(40);
  });

  it('places two simultaneous prompts on different engines', async () => {
    // Two requests arrive at once. The router reads the reports for both, finds the same engine
    // idle, and places both there before either is sent: the second waits for the whole prefill of
    // the first, while another engine is idle.
    const fake = Fakes.createFakeDependencies(() => []);
    const engines = ['a1', 'a2', 'a3'].map((id) => Fakes.createTarget(id));
    fake.setTargets(engines);
    engines.forEach(({ id }) => fake.reports.set(id, Fakes.IDLE_REPORT));
    const route = Fakes.createRoute();
    // With the same id both requests rank the engines alike.
    const requests = [Fakes.createRequest(route), Fakes.createRequest(route)];
    const pairs = await Promise.all(
      requests.map((request) =>
        EnginePlacements.chooseEngines(fake.dependencies, request, new Set()),
      ),
    );
    const targets = pairs.map((pair) => pair?.target.id);
    expect(new Set(targets).size).toEqual(2);
  });

  it('counts a prompt once although it is first placed and then sent', () => {
    // Placement and send are of the same prompt. If both were counted, the engine would seem to
    // have another prompt queued, and a busier one would be chosen.
    const fake = Fakes.createFakeDependencies(() => []);
    const target = Fakes.createTarget('a1');
    const { registry } = fake.dependencies;
    registry.recordPlacement(target);
    expect(registry.buildView(target).sentSinceReport).toEqual(1);
    const recordEnd = registry.recordStart(target);
    expect(registry.buildView(target).sentSinceReport).toEqual(1);
    recordEnd();
    expect(registry.buildView(target).sentSinceReport).toEqual(0);
  });
});
