import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Sim from '..';

function findWorkload(name: string): Sim.Workload {
  const workload = Sim.WORKLOADS.find((one) => one.name === name);
  if (workload === undefined) throw new Error(`no workload ${name}`);
  return workload;
}

function simulateOwnPolicy(name: string): Sim.SimulationSummary {
  return Sim.simulateWorkload(findWorkload(name), Sim.OWN_POLICY);
}

function simulateBaselines(name: string): readonly Sim.SimulationSummary[] {
  return Sim.BASELINE_POLICIES.map((baseline) =>
    Sim.simulateWorkload(findWorkload(name), baseline),
  );
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

function checkGoodputAbove(
  own: Sim.SimulationSummary,
  others: readonly Sim.SimulationSummary[],
): void {
  const atLeastAsGood = others.filter((other) => other.goodputShare >= own.goodputShare);
  expect(atLeastAsGood.map((other) => `${other.policy} ${other.goodputShare}`)).toEqual([]);
}

describe('simulated workloads', () => {
  it('steady load: every request is served and none is refused', () => {
    // Guards against overload protection that refuses callers without need. At 70% of capacity there is
    // no overload, and refusals there would do more harm than the overload they protect against.
    checkSummary(simulateOwnPolicy('steady'), {
      goodputOfAsked: 0.99,
      p95FirstTokenMs: 250,
      refused: 5,
      abandoned: 0,
      failed: 0,
    });
  });

  it('burst: ten times the load for 5 s is refused on arrival and does not delay later requests', () => {
    // A marketing mail brings ten times the usual shoppers for 5 s. If all are admitted, they fill every
    // engine's queue, and later callers wait behind requests whose callers have already given up.
    const own = simulateOwnPolicy('burst');
    checkSummary(own, {
      goodputOfAsked: 0.85,
      p95FirstTokenMs: 300,
      worstShare: 0.88,
      wastedShare: 0.01,
      refusedWrongly: 30,
    });
    checkGoodputAbove(own, simulateBaselines('burst'));
  });

  it('few organisations: two that send 70% of an overload do not take the share of the others', () => {
    // Two large shops have a sale; with eight small shops they request 1.3 times capacity. Served in
    // order of arrival, the small shops lose the same share of requests as the large ones, which cause
    // the overload.
    const own = simulateOwnPolicy('fewOrganisations');
    checkSummary(own, {
      goodputShare: 0.92,
      worstShare: 0.87,
      p95FirstTokenMs: 1_000,
      wastedShare: 0.04,
    });
    checkGoodputAbove(own, simulateBaselines('fewOrganisations'));
  });

  it('few prompts: four shared prompt prefixes do not overload the engines that cached them', () => {
    // All prompts begin with one of four prefixes. Sent only to an engine that has cached the prefix, they
    // fill four engines while twelve are idle; sent to any engine, each engine prefills all four.
    const own = simulateOwnPolicy('fewPrompts');
    checkSummary(own, { goodputOfAsked: 0.96, p95FirstTokenMs: 400, wastedShare: 0.02 });
    checkGoodputAbove(own, simulateBaselines('fewPrompts'));
  });

  it('slow target: it is excluded within seconds and its share goes to the other targets', () => {
    // One engine's machine is throttled to a sixth of its speed. Its streams still deliver a token every
    // 180 ms, so nothing fails, and every caller sent there gets a slow answer until the engine is excluded.
    const own = simulateOwnPolicy('slowTarget');
    checkSummary(own, { goodputOfAsked: 0.96, p95FirstTokenMs: 300, wastedShare: 0.03 });
    checkGoodputAbove(own, simulateBaselines('slowTarget'));
  });

  it('failing fast: a target that refuses every request does not attract all requests', () => {
    // An engine has lost its accelerator and refuses every request within a millisecond. It never has
    // requests in flight, so a policy that counts those considers it idle and sends it most new prompts.
    const own = simulateOwnPolicy('failingFast');
    checkSummary(own, { goodputOfAsked: 0.96, p95FirstTokenMs: 300, failed: 0 });
    checkGoodputAbove(own, simulateBaselines('failingFast'));
  });

  it('long among short: long generations do not delay short ones', () => {
    // At 1.1 times capacity, a third of the requests are summaries that run for a minute or more and the
    // rest are short questions. The short ones must not wait for the long ones, and the long ones must not
    // starve.
    const own = simulateOwnPolicy('longAmongShort');
    checkSummary(own, { goodputShare: 0.92, p95FirstTokenMs: 1_000, worstShare: 0.85 });
    checkGoodputAbove(own, simulateBaselines('longAmongShort'));
  });

  it('saturation: goodput stays near capacity through four minutes at 1.5 times capacity', () => {
    // The load is one and a half times capacity for minutes. If every request is admitted, every answer is
    // late: callers leave, their work is wasted, and goodput falls to zero while the engines are full.
    const own = simulateOwnPolicy('saturation');
    checkSummary(own, {
      goodputShare: 0.93,
      p95FirstTokenMs: 1_000,
      worstShare: 0.9,
      wastedShare: 0.03,
      refusedWrongly: 60,
      abandoned: 5,
    });
    checkGoodputAbove(own, simulateBaselines('saturation'));
  });

  it('a third lost, then restored: the others serve what they can, and streams are continued', () => {
    // Five of sixteen engines die at 75% load, with about 120 streams on them, and restart a minute later
    // with cold caches. Continued streams must take precedence over new prompts.
    const own = simulateOwnPolicy('thirdLost');
    checkSummary(own, { goodputOfAsked: 0.91, p95FirstTokenMs: 600, failed: 5, abandoned: 5 });
    checkGoodputAbove(own, simulateBaselines('thirdLost'));
  });

  it('stale reports: reports three to five seconds old do not send all requests to one engine', () => {
    // Load reports arrive late. Every router chooses the engine that was idle four seconds ago until the
    // next report shows the load that they caused there.
    const own = simulateOwnPolicy('staleReports');
    checkSummary(own, { goodputOfAsked: 0.93, p95FirstTokenMs: 800, wastedShare: 0.05 });
    checkGoodputAbove(own, simulateBaselines('staleReports'));
  });

  it('retry storm: refused callers that retry at once do not affect the other callers', () => {
    // At 1.3 times capacity, callers ignore Retry-After and retry after 200 ms, up to four times. Refusals
    // must stay cheap and fair, or the retries displace the callers that honour Retry-After.
    const own = simulateOwnPolicy('retryStorm');
    checkSummary(own, {
      goodputShare: 0.92,
      p95FirstTokenMs: 1_000,
      worstShare: 0.88,
      wastedShare: 0.04,
    });
    checkGoodputAbove(own, simulateBaselines('retryStorm'));
  });

  it('gives the same summary for the same seed', () => {
    const workload = { ...findWorkload('saturation'), judgedFromMs: 20_000, endMs: 60_000 };
    const first = Sim.simulateWorkload(workload, Sim.OWN_POLICY);
    expect(Sim.simulateWorkload(workload, Sim.OWN_POLICY)).toEqual(first);
  });
});
