/** Loads of the contention bench: who asks for how much, and when. */
import * as UniformFloat from 'pure-rand/distribution/uniformFloat64';
import * as PureRand from 'pure-rand/generator/xoroshiro128plus';

export interface Period {
  readonly fromMs: number;
  readonly untilMs: number;
}

export interface Scenario {
  readonly name: string;
  /** Requested slot time as a multiple of what all engines have. */
  readonly load: number;
  /** Share of each organisation in the load. */
  readonly organisationShares: readonly number[];
  /** Period in which the least urgent route gets `BURST_FACTOR` times its requests. */
  readonly burst?: Period;
  /** Period in which a third of the engines is gone. */
  readonly loss?: Period;
}

export interface Arrival {
  readonly atMs: number;
  readonly route: number;
  readonly organisation: number;
}

/** Routes by priority; the objectives for the first event are a quarter of those of the deployments. */
export const ROUTES = [
  { name: 'urgent', priority: 0, objectiveMs: 1_000 },
  { name: 'usual', priority: 1, objectiveMs: 1_125 },
  { name: 'background', priority: 2, objectiveMs: 1_250 },
] as const;
export const ORGANISATIONS = ['large', 'middle', 'small'] as const;

const BURST_FACTOR = 5;
const DISTURBANCE: Period = { fromMs: 4_000, untilMs: 10_000 };

function computePeriod({ fromMs, untilMs }: Period, scale: number): Period {
  return { fromMs: fromMs * scale, untilMs: untilMs * scale };
}

/** The same scenario with longer times. */
export function createScaled(scenario: Scenario, scale: number): Scenario {
  const { burst, loss } = scenario;
  return {
    ...scenario,
    ...(burst === undefined ? {} : { burst: computePeriod(burst, scale) }),
    ...(loss === undefined ? {} : { loss: computePeriod(loss, scale) }),
  };
}

const UNEVEN = [0.5, 0.3, 0.2];
const MS_PER_SECOND = 1_000;

export const SCENARIOS: readonly Scenario[] = [
  { name: 'overload', load: 1.6, organisationShares: UNEVEN },
  { name: 'burst', load: 0.7, organisationShares: UNEVEN, burst: DISTURBANCE },
  { name: 'loss', load: 0.9, organisationShares: UNEVEN, loss: DISTURBANCE },
  { name: 'organisation', load: 1.3, organisationShares: [0.9, 0.05, 0.05] },
  { name: 'calm', load: 0.5, organisationShares: UNEVEN },
];

export function findScenario(name: string): Scenario {
  const scenario = SCENARIOS.find((one) => one.name === name);
  if (scenario !== undefined) return scenario;
  const names = SCENARIOS.map((one) => one.name).join(', ');
  throw new Error(`no scenario is called ${name}; there are ${names}`);
}

export interface ArrivalOptions {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly durationMs: number;
  /** Requests that the engines can run per second. */
  readonly capacityPerSecond: number;
}

/** Poisson arrivals; each pair of a route and an organisation has its own rate. */
export function createArrivals(options: ArrivalOptions): readonly Arrival[] {
  const { scenario, seed, durationMs, capacityPerSecond } = options;
  const { load, organisationShares, burst } = scenario;
  const generator = PureRand.xoroshiro128plus(seed);
  const arrivals: Arrival[] = [];
  for (const [route, { priority }] of ROUTES.entries()) {
    const isLeastUrgent = priority === ROUTES.length - 1;
    const peak = isLeastUrgent && burst !== undefined ? BURST_FACTOR : 1;
    for (const [organisation, share] of organisationShares.entries()) {
      const perMs = (load * capacityPerSecond * share) / ROUTES.length / MS_PER_SECOND;
      let atMs = 0;
      for (;;) {
        atMs -= Math.log(1 - UniformFloat.uniformFloat64(generator)) / (perMs * peak);
        if (atMs >= durationMs) break;
        const isBurst = burst !== undefined && atMs >= burst.fromMs && atMs < burst.untilMs;
        // Thinning: outside the burst, one in `peak` of the arrivals at the peak rate takes place.
        const isKept = isBurst || UniformFloat.uniformFloat64(generator) * peak < 1;
        if (isKept) arrivals.push({ atMs, route, organisation });
      }
    }
  }
  return arrivals.sort((left, right) => left.atMs - right.atMs);
}
