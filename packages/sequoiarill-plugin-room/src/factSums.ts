/** Adds, subtracts and bounds what routers know of a service. */
import type { EngineSpeed, OrganisationWork, RepeatTotals, RoomFacts } from '@sequoiarill/types';

/** Limits of a message, as the receiving side checks them. */
export const MAX_ORGANISATIONS = 32;
const MAX_SPEEDS = 64;
const MAX_WORK = 1e9;
const MAX_COUNT = 1e7;
const MAX_ROUTERS = 10_000;
/** Three digits keep messages short and are more than smoothed rates are exact. */
const SIGNIFICANT_DIGITS = 3;

type EndedRepeats = RoomFacts['endedRepeats'];

export const NO_REPEATS: RepeatTotals = { requests: 0, retries: 0, capacity: 0 };

export function createEmptyFacts(service: string): RoomFacts {
  return {
    service,
    organisations: [],
    speeds: [],
    repeats: NO_REPEATS,
    endedRepeats: { requests: 0, retries: 0 },
    routers: 0,
    settledRouters: 0,
  };
}

export function computeTotal(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

/** Numbers that are negative or not finite, as a faulty source may return, count as 0. */
export function computeBounded(value: number, max = MAX_COUNT): number {
  return Number.isFinite(value) && value > 0 ? Math.min(max, value) : 0;
}

function mergeValues(
  left: readonly number[],
  right: readonly number[],
  combine: (left: number, right: number) => number,
): readonly number[] {
  const length = Math.max(left.length, right.length);
  return Array.from({ length }, (_, index) => combine(left[index] ?? 0, right[index] ?? 0));
}

function mergeWork(
  left: OrganisationWork,
  right: OrganisationWork,
  combine: (left: number, right: number) => number,
): OrganisationWork {
  return {
    organisation: left.organisation,
    demand: mergeValues(left.demand, right.demand, combine),
    served: mergeValues(left.served, right.served, combine),
  };
}

function computeSum(left: number, right: number): number {
  return left + right;
}

function computeRest(left: number, right: number): number {
  return Math.max(0, left - right);
}

export function mergeRepeats(
  left: RepeatTotals,
  right: RepeatTotals,
  combine = computeSum,
): RepeatTotals {
  return {
    requests: combine(left.requests, right.requests),
    retries: combine(left.retries, right.retries),
    capacity: combine(left.capacity, right.capacity),
  };
}

export function mergeEnded(
  left: EndedRepeats,
  right: EndedRepeats,
  combine = computeSum,
): EndedRepeats {
  return {
    requests: combine(left.requests, right.requests),
    retries: combine(left.retries, right.retries),
  };
}

function addValues(sum: number[], values: readonly number[]): void {
  values.forEach((value, index) => {
    sum[index] = (sum[index] ?? 0) + value;
  });
}

/** Adds in place: a collector merges some fifty lists for each report that it answers. */
function mergeOrganisations(facts: readonly RoomFacts[]): readonly OrganisationWork[] {
  const sums = new Map<string, { organisation: string; demand: number[]; served: number[] }>();
  for (const { organisations } of facts) {
    for (const { organisation, demand, served } of organisations) {
      let sum = sums.get(organisation);
      if (sum === undefined) {
        sum = { organisation, demand: [], served: [] };
        sums.set(organisation, sum);
      }
      addValues(sum.demand, demand);
      addValues(sum.served, served);
    }
  }
  return [...sums.values()];
}

/** The median: one router with faulty measurements does not move it. */
function mergeSpeeds(facts: readonly RoomFacts[]): readonly EngineSpeed[] {
  const factors = new Map<string, number[]>();
  for (const { speeds } of facts) {
    for (const { engine, factor } of speeds) {
      const known = factors.get(engine);
      if (known === undefined) factors.set(engine, [factor]);
      else known.push(factor);
    }
  }
  return [...factors].map(([engine, values]) => {
    const sorted = values.sort((left, right) => left - right);
    return { engine, factor: sorted[Math.floor((sorted.length - 1) / 2)] ?? 1 };
  });
}

export function mergeFacts(service: string, facts: readonly RoomFacts[]): RoomFacts {
  return {
    service,
    organisations: mergeOrganisations(facts),
    speeds: mergeSpeeds(facts),
    repeats: facts.reduce((sum, part) => mergeRepeats(sum, part.repeats), NO_REPEATS),
    endedRepeats: facts.reduce((sum, part) => mergeEnded(sum, part.endedRepeats), {
      requests: 0,
      retries: 0,
    }),
    routers: computeTotal(facts.map(({ routers }) => routers)),
    settledRouters: computeTotal(facts.map(({ settledRouters }) => settledRouters)),
  };
}

/**
 * What is left of a sum without one of its parts. Engines that the part measured itself are left out: a router would
 * otherwise hear its own measurements from others and keep them beyond their time.
 */
export function removeFacts(sum: RoomFacts, part: RoomFacts): RoomFacts {
  const parts = new Map(part.organisations.map((work) => [work.organisation, work]));
  const measured = new Set(part.speeds.map(({ engine }) => engine));
  return {
    ...sum,
    speeds: sum.speeds.filter(({ engine }) => !measured.has(engine)),
    organisations: sum.organisations.map((work) => {
      const own = parts.get(work.organisation);
      return own === undefined ? work : mergeWork(work, own, computeRest);
    }),
    repeats: mergeRepeats(sum.repeats, part.repeats, computeRest),
    endedRepeats: mergeEnded(sum.endedRepeats, part.endedRepeats, computeRest),
    routers: computeRest(sum.routers, part.routers),
    settledRouters: computeRest(sum.settledRouters, part.settledRouters),
  };
}

function computeRounded(value: number, max: number): number {
  return Number(computeBounded(value, max).toPrecision(SIGNIFICANT_DIGITS));
}

/** Keeps the largest demands; the others are summed under the empty name. */
function selectOrganisations(
  organisations: readonly OrganisationWork[],
): readonly OrganisationWork[] {
  if (organisations.length <= MAX_ORGANISATIONS) return organisations;
  const named = organisations
    .filter(({ organisation }) => organisation !== '')
    .map((work) => ({ work, demand: computeTotal(work.demand) }))
    .sort((left, right) => right.demand - left.demand)
    .map(({ work }) => work);
  const rest = [
    ...organisations.filter(({ organisation }) => organisation === ''),
    ...named.slice(MAX_ORGANISATIONS - 1),
  ].reduce((sum, work) => mergeWork(sum, work, computeSum), {
    organisation: '',
    demand: [],
    served: [],
  });
  return [...named.slice(0, MAX_ORGANISATIONS - 1), rest];
}

/** Brings facts within the limits of a message. */
export function buildMessageFacts(facts: RoomFacts): RoomFacts {
  const { repeats, endedRepeats } = facts;
  const getDeviation = ({ factor }: EngineSpeed): number => Math.abs(Math.log(factor));
  return {
    service: facts.service,
    organisations: selectOrganisations(facts.organisations).map(
      ({ organisation, demand, served }) => ({
        organisation,
        demand: demand.map((value) => computeRounded(value, MAX_WORK)),
        served: served.map((value) => computeRounded(value, MAX_WORK)),
      }),
    ),
    speeds: [...facts.speeds]
      .sort((left, right) => getDeviation(right) - getDeviation(left))
      .slice(0, MAX_SPEEDS)
      .map(({ engine, factor }) => ({ engine, factor: computeRounded(factor, MAX_COUNT) })),
    repeats: {
      requests: computeRounded(repeats.requests, MAX_COUNT),
      retries: computeRounded(repeats.retries, MAX_COUNT),
      capacity: computeRounded(repeats.capacity, MAX_COUNT),
    },
    endedRepeats: {
      requests: computeRounded(endedRepeats.requests, MAX_COUNT),
      retries: computeRounded(endedRepeats.retries, MAX_COUNT),
    },
    routers: Math.min(MAX_ROUTERS, facts.routers),
    settledRouters: Math.min(MAX_ROUTERS, facts.settledRouters),
  };
}
