import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as EnginePlacements from '../enginePlacements';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies } from '../../__tests__/fakeDependencies';

const PARTS = [
  { id: 'shared', tokens: 200 },
  { id: 'own', tokens: 7_800 },
];

/** Four engines in two zones of which one keeps the prompt; all answer after so long. */
function createKeptPrompt(answerMs: number): FakeDependencies {
  const fake = Fakes.createFakeDependencies(() => []);
  const engines = ['a1', 'a2', 'b1', 'b2'].map((id) =>
    Fakes.createTarget(id, { zone: id.slice(0, 1) }),
  );
  fake.setTargets(engines);
  engines.forEach(({ id }) => {
    fake.reports.set(id, Fakes.IDLE_REPORT);
    fake.cachedParts.set(id, new Map());
    fake.responseDelayMs.set(id, answerMs);
  });
  fake.cachedParts.set('b2', new Map(PARTS.map(({ id, tokens }) => [id, tokens])));
  return fake;
}

/** Where a caller that comes back is sent, and when. */
async function playReturn(fake: FakeDependencies) {
  const request = {
    ...Fakes.createRequest(Fakes.createRoute()),
    promptParts: PARTS,
    lastEventId: '7',
  };
  let placedMs = Number.POSITIVE_INFINITY;
  const placing = EnginePlacements.chooseEngines(fake.dependencies, request, new Set()).then(
    (pair) => {
      placedMs = fake.clock.getNowMs();
      return pair?.target.id;
    },
  );
  await fake.clock.runFor(2_000);
  return { target: await placing, placedMs };
}

describe('the placement of streams', () => {
  it('finds the prompt of a caller that comes back at engines that answer late', async () => {
    // Guards against a prompt that is read again elsewhere since its keeper took long to answer.
    for (const answerMs of [0, 60, 120, 240]) {
      const { target } = await playReturn(createKeptPrompt(answerMs));
      expect(target).toEqual('b2');
    }
  });

  it('does not wait for silent engines once the prompt is found', async () => {
    // Guards against callers that come back after a crash and wait for engines that are gone.
    const fake = createKeptPrompt(1);
    fake.reports.delete('a1');
    fake.cachedParts.delete('a1');
    const { target, placedMs } = await playReturn(fake);
    expect(target).toEqual('b2');
    expect(placedMs).toBeLessThanOrEqual(40);
  });

  it('asks no longer than before where a caller is new', async () => {
    // Guards against first events that wait for engines which are gone.
    const fake = createKeptPrompt(1);
    fake.reports.delete('a1');
    const request = { ...Fakes.createRequest(Fakes.createRoute()), promptParts: PARTS };
    let placedMs = Number.POSITIVE_INFINITY;
    const placing = EnginePlacements.chooseEngines(fake.dependencies, request, new Set()).then(
      () => {
        placedMs = fake.clock.getNowMs();
      },
    );
    await fake.clock.runFor(2_000);
    await placing;
    expect(placedMs).toBeLessThanOrEqual(40);
  });

  it('keeps two prompts apart that come to one router at the same moment', async () => {
    // Two shoppers ask at once. The router reads the reports for both, finds the same engine idle, and
    // places both there before either is sent: the second waits for the first one's whole prompt,
    // while another idle engine has nothing to read.
    const fake = Fakes.createFakeDependencies(() => []);
    const engines = ['a1', 'a2', 'a3'].map((id) => Fakes.createTarget(id));
    fake.setTargets(engines);
    engines.forEach(({ id }) => fake.reports.set(id, Fakes.IDLE_REPORT));
    const route = Fakes.createRoute();
    // Under one id both rank the engines alike.
    const requests = [Fakes.createRequest(route), Fakes.createRequest(route)];
    const pairs = await Promise.all(
      requests.map((request) =>
        EnginePlacements.chooseEngines(fake.dependencies, request, new Set()),
      ),
    );
    const targets = pairs.map((pair) => pair?.target.id);
    expect(new Set(targets).size).toEqual(2);
  });

  it('counts a prompt once that was placed and then sent', () => {
    // What was placed and what is sent are the same prompt; counted twice, the engine would look as if
    // another prompt waited there, and be passed over for a busier one.
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
