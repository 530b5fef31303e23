import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Sim from '..';

function findPattern(name: string): Sim.Workload {
  const pattern = Sim.WORKLOADS.find((one) => one.name === name);
  if (pattern === undefined) throw new Error(`no pattern ${name}`);
  return pattern;
}

function playOwn(name: string): Sim.SimulationSummary {
  return Sim.simulateWorkload(findPattern(name), Sim.OWN_POLICY);
}

function playBaselines(name: string): readonly Sim.SimulationSummary[] {
  return Sim.BASELINE_POLICIES.map((baseline) => Sim.simulateWorkload(findPattern(name), baseline));
}

/** Throws with the complete summary, so that a failure shows what callers got. */
function checkSummary(
  summary: Sim.SimulationSummary,
  bounds: Partial<Sim.SimulationSummary>,
): void {
  const { goodputShare = 0, goodputOfAsked = 0, worstShare = 0, ...most } = bounds;
  const least = { goodputShare, goodputOfAsked, worstShare };
  const missed: string[] = [];
  for (const [key, min] of Object.entries(least)) {
    if (Number(summary[key as keyof Sim.SimulationSummary]) < min) missed.push(`${key} < ${min}`);
  }
  for (const [key, max] of Object.entries(most)) {
    if (summary[key as keyof Sim.SimulationSummary] > max) missed.push(`${key} > ${max}`);
  }
  const report = missed.length === 0 ? '' : `${missed.join(', ')} in ${JSON.stringify(summary)}`;
  expect(report).toEqual('');
}

function checkAhead(own: Sim.SimulationSummary, others: readonly Sim.SimulationSummary[]): void {
  const ahead = others.filter((other) => other.goodputShare >= own.goodputShare);
  expect(ahead.map((other) => `${other.policy} ${other.goodputShare}`)).toEqual([]);
}

describe('played patterns of load', () => {
  it('steady load: everybody is served and nobody refused', () => {
    // Nothing is wrong at 70% of capacity. A policy for bad times that turns callers away in good
    // ones would do more harm than the bad times.
    checkSummary(playOwn('steady'), {
      goodputOfAsked: 0.99,
      p95FirstTokenMs: 250,
      refused: 5,
      abandoned: 0,
      failed: 0,
    });
  });

  it('burst: ten times the load for 5 s is turned away at the door and leaves nothing behind', () => {
    // A campaign mail sends ten times the shoppers for 5 s. Let in, they fill every engine's queue,
    // and callers long after the burst wait for those who have given up.
    const own = playOwn('burst');
    checkSummary(own, {
      goodputOfAsked: 0.85,
      p95FirstTokenMs: 300,
      worstShare: 0.88,
      wastedShare: 0.01,
      refusedWrongly: 30,
    });
    checkAhead(own, playBaselines('burst'));
  });

  it('few organisations: two that send 70% of an overload do not take it from the others', () => {
    // Two large shops have a sale; together with eight small ones they ask for 1.3 times capacity. In
    // order of arrival the small shops lose as many shoppers as the large ones, who caused it.
    const own = playOwn('fewOrganisations');
    checkSummary(own, {
      goodputShare: 0.92,
      worstShare: 0.87,
      p95FirstTokenMs: 1_000,
      wastedShare: 0.04,
    });
    checkAhead(own, playBaselines('fewOrganisations'));
  });

  it('few prompts: four shared instructions do not bury the engines that cached them', () => {
    // Nearly all prompts begin with one of four texts. Sent where the prefix is cached and nowhere
    // else, they fill four engines while twelve idle; sent anywhere, each engine prefills all four.
    const own = playOwn('fewPrompts');
    checkSummary(own, { goodputOfAsked: 0.96, p95FirstTokenMs: 400, wastedShare: 0.02 });
    checkAhead(own, playBaselines('fewPrompts'));
  });

  it('slow target: it is left out within seconds and its share goes to its peers', () => {
    // One engine's machine throttles to a sixth. Its streams still come, at 180 ms a token, so nothing
    // fails; every caller sent there reads a crawling answer until the engine is left out.
    const own = playOwn('slowTarget');
    checkSummary(own, { goodputOfAsked: 0.96, p95FirstTokenMs: 300, wastedShare: 0.03 });
    checkAhead(own, playBaselines('slowTarget'));
  });

  it('failing fast: the target that refuses everything does not draw everything', () => {
    // An engine lost its accelerator and refuses within a millisecond. It never has work in progress,
    // so it looks idle to whoever counts that, and takes most new prompts to refuse them.
    const own = playOwn('failingFast');
    checkSummary(own, { goodputOfAsked: 0.96, p95FirstTokenMs: 300, failed: 0 });
    checkAhead(own, playBaselines('failingFast'));
  });

  it('long among short: long documents do not hold the short questions back', () => {
    // A third of the requests are summaries of a minute and more, the rest are short questions, at
    // 1.1 times capacity. The short ones must start beside the long ones, and the long ones at all.
    const own = playOwn('longAmongShort');
    checkSummary(own, { goodputShare: 0.92, p95FirstTokenMs: 1_000, worstShare: 0.85 });
    checkAhead(own, playBaselines('longAmongShort'));
  });

  it('saturation: four minutes at 1.5 times capacity give capacity, not collapse', () => {
    // Half as much again as the engines can do, for minutes. Everything let in means everything late:
    // callers leave, their work was for nothing, and goodput goes to zero while the engines are full.
    const own = playOwn('saturation');
    checkSummary(own, {
      goodputShare: 0.93,
      p95FirstTokenMs: 1_000,
      worstShare: 0.9,
      wastedShare: 0.03,
      refusedWrongly: 60,
      abandoned: 5,
    });
    checkAhead(own, playBaselines('saturation'));
  });

  it('a third lost, then back: the survivors serve what they can, the streams go on', () => {
    // Five of sixteen engines die at 75% load with some 120 streams on them, and come back a minute
    // later with cold caches. New prompts must give way to the streams that are continued.
    const own = playOwn('thirdLost');
    checkSummary(own, { goodputOfAsked: 0.91, p95FirstTokenMs: 600, failed: 5, abandoned: 5 });
    checkAhead(own, playBaselines('thirdLost'));
  });

  it('stale reports: reports three to five seconds old do not send everybody to one engine', () => {
    // Load reports come late. The engine that looked idle four seconds ago is chosen by every router
    // until the next report shows what they did to it.
    const own = playOwn('staleReports');
    checkSummary(own, { goodputOfAsked: 0.93, p95FirstTokenMs: 800, wastedShare: 0.05 });
    checkAhead(own, playBaselines('staleReports'));
  });

  it('retry storm: refused callers who come back at once do not change what the others get', () => {
    // Callers ignore Retry-After and come back 200 ms later, up to four times, at 1.3 times capacity.
    // Refusing must stay cheap and fair, or the retries push out those who wait as told.
    const own = playOwn('retryStorm');
    checkSummary(own, {
      goodputShare: 0.92,
      p95FirstTokenMs: 1_000,
      worstShare: 0.88,
      wastedShare: 0.04,
    });
    checkAhead(own, playBaselines('retryStorm'));
  });

  it('plays the same numbers for the same seed', () => {
    const pattern = { ...findPattern('saturation'), judgedFromMs: 20_000, endMs: 60_000 };
    const first = Sim.simulateWorkload(pattern, Sim.OWN_POLICY);
    expect(Sim.simulateWorkload(pattern, Sim.OWN_POLICY)).toEqual(first);
  });
});
