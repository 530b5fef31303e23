/** Workloads that policies are simulated under, all with the same engines and seeds. */

export interface SimulatedOrganisation {
  readonly name: string;
  readonly weight: number;
  /** Rate of requests relative to the other organisations. */
  readonly demand: number;
}

export interface FaultEvent {
  readonly atMs: number;
  readonly kind: 'slow' | 'failing' | 'dead' | 'recovered';
  /** Indices of the affected engines. */
  readonly engines: readonly number[];
}

export interface Workload {
  readonly name: string;
  readonly seed: number;
  readonly organisations: readonly SimulatedOrganisation[];
  /** Load at the given time, as a multiple of capacity. */
  readonly getLoad: (nowMs: number) => number;
  readonly faults: readonly FaultEvent[];
  /** Interval between load reports of an engine, milliseconds. */
  readonly reportIntervalMs: number;
  /** Delay until routers receive a load report, milliseconds. */
  readonly reportLagMs: number;
  /** Fraction of the requests with a long output. */
  readonly longOutputShare: number;
  /** Number of distinct prompt prefixes; the first few make up most of the requests. */
  readonly prefixCount: number;
  /** Maximum retries of a caller that was refused or timed out; it ignores Retry-After. */
  readonly callerRetries: number;
  /** Requests and tokens from this time to `endMs` are counted. */
  readonly measuredFromMs: number;
  readonly endMs: number;
}

export const ENGINE_COUNT = 16;
export const SLOTS_PER_ENGINE = 32;
export const ROUTER_COUNT = 4;
export const ZONE_COUNT = 2;
const SLOWDOWN_FACTOR = 6;

export function getSlowdownFactor(): number {
  return SLOWDOWN_FACTOR;
}

function listOrganisations(demands: readonly number[]): readonly SimulatedOrganisation[] {
  return demands.map((demand, index) => ({ name: `org-${index}`, weight: 1, demand }));
}

const EVEN_DEMAND = listOrganisations(new Array<number>(10).fill(1));

/** The first two send 70% of the requests. */
const SKEWED_DEMAND = listOrganisations([35, 35, 4, 4, 4, 4, 4, 4, 3, 3]);

const BASE_WORKLOAD: Omit<Workload, 'name'> = {
  seed: 20_261_202,
  organisations: EVEN_DEMAND,
  getLoad: () => 0.7,
  faults: [],
  reportIntervalMs: 500,
  reportLagMs: 500,
  longOutputShare: 0.07,
  prefixCount: 60,
  callerRetries: 0,
  measuredFromMs: 120_000,
  endMs: 360_000,
};

function listEngines(from: number, to: number): readonly number[] {
  return Array.from({ length: to - from }, (_value, index) => from + index);
}

const BURST_START_MS = 150_000;
const BURST_DURATION_MS = 5_000;

function getBurstLoad(nowMs: number): number {
  const isBurst = nowMs >= BURST_START_MS && nowMs < BURST_START_MS + BURST_DURATION_MS;
  return isBurst ? 6 : 0.6;
}

export const WORKLOADS: readonly Workload[] = [
  { ...BASE_WORKLOAD, name: 'steady' },
  { ...BASE_WORKLOAD, name: 'burst', getLoad: getBurstLoad },
  { ...BASE_WORKLOAD, name: 'fewOrganisations', organisations: SKEWED_DEMAND, getLoad: () => 1.3 },
  { ...BASE_WORKLOAD, name: 'fewPrompts', prefixCount: 4, getLoad: () => 0.9 },
  {
    ...BASE_WORKLOAD,
    name: 'slowTarget',
    getLoad: () => 0.8,
    faults: [{ atMs: 130_000, kind: 'slow', engines: [3] }],
  },
  {
    ...BASE_WORKLOAD,
    name: 'failingFast',
    getLoad: () => 0.8,
    faults: [{ atMs: 130_000, kind: 'failing', engines: [3] }],
  },
  { ...BASE_WORKLOAD, name: 'longAmongShort', longOutputShare: 0.3, getLoad: () => 1.1 },
  { ...BASE_WORKLOAD, name: 'saturation', getLoad: () => 1.5 },
  {
    ...BASE_WORKLOAD,
    name: 'thirdLost',
    getLoad: () => 0.75,
    faults: [
      { atMs: 150_000, kind: 'dead', engines: listEngines(0, 5) },
      { atMs: 210_000, kind: 'recovered', engines: listEngines(0, 5) },
    ],
  },
  {
    ...BASE_WORKLOAD,
    name: 'staleReports',
    getLoad: () => 0.9,
    reportIntervalMs: 2_000,
    reportLagMs: 3_000,
  },
  { ...BASE_WORKLOAD, name: 'retryStorm', getLoad: () => 1.3, callerRetries: 4 },
];
