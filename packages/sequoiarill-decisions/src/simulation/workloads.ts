/** The patterns of load that policies are played through, all with the same engines and seeds. */

export interface PlayOrganisation {
  readonly name: string;
  readonly weight: number;
  /** Part of the requests, relative to the others. */
  readonly demand: number;
}

export interface FaultEvent {
  readonly atMs: number;
  readonly kind: 'slow' | 'failing' | 'dead' | 'back';
  /** Indices of the engines it strikes. */
  readonly engines: readonly number[];
}

export interface Workload {
  readonly name: string;
  readonly seed: number;
  readonly organisations: readonly PlayOrganisation[];
  /** Load as a multiple of capacity at a time, milliseconds. */
  readonly getLoad: (nowMs: number) => number;
  readonly faults: readonly FaultEvent[];
  /** Between reports of an engine, and the time until routers know them, milliseconds. */
  readonly reportEveryMs: number;
  readonly reportLagMs: number;
  /** Part of the requests that are long. */
  readonly longShare: number;
  /** Different prompt prefixes in use; the few first ones take most of the requests. */
  readonly prefixes: number;
  /** Refused or abandoned callers come back at once, up to this many times. */
  readonly callerRetries: number;
  /** Judged are requests and tokens from here to the end. */
  readonly judgedFromMs: number;
  readonly endMs: number;
}

export const ENGINES = 16;
export const SLOTS = 32;
export const ROUTERS = 4;
export const ZONES = 2;
const SLOWNESS_OF_SLOW = 6;

export function getSlowness(): number {
  return SLOWNESS_OF_SLOW;
}

function listOrganisations(demands: readonly number[]): readonly PlayOrganisation[] {
  return demands.map((demand, index) => ({ name: `org-${index}`, weight: 1, demand }));
}

const EVEN = listOrganisations(new Array<number>(10).fill(1));

/** The first two send 70% of the requests. */
const SKEWED = listOrganisations([35, 35, 4, 4, 4, 4, 4, 4, 3, 3]);

const BASE: Omit<Workload, 'name'> = {
  seed: 20_261_202,
  organisations: EVEN,
  getLoad: () => 0.7,
  faults: [],
  reportEveryMs: 500,
  reportLagMs: 500,
  longShare: 0.07,
  prefixes: 60,
  callerRetries: 0,
  judgedFromMs: 120_000,
  endMs: 360_000,
};

function listEngines(from: number, to: number): readonly number[] {
  return Array.from({ length: to - from }, (_value, index) => from + index);
}

const BURST_AT_MS = 150_000;
const BURST_MS = 5_000;

function getBurstLoad(nowMs: number): number {
  const isBurst = nowMs >= BURST_AT_MS && nowMs < BURST_AT_MS + BURST_MS;
  return isBurst ? 6 : 0.6;
}

export const WORKLOADS: readonly Workload[] = [
  { ...BASE, name: 'steady' },
  { ...BASE, name: 'burst', getLoad: getBurstLoad },
  { ...BASE, name: 'fewOrganisations', organisations: SKEWED, getLoad: () => 1.3 },
  { ...BASE, name: 'fewPrompts', prefixes: 4, getLoad: () => 0.9 },
  {
    ...BASE,
    name: 'slowTarget',
    getLoad: () => 0.8,
    faults: [{ atMs: 130_000, kind: 'slow', engines: [3] }],
  },
  {
    ...BASE,
    name: 'failingFast',
    getLoad: () => 0.8,
    faults: [{ atMs: 130_000, kind: 'failing', engines: [3] }],
  },
  { ...BASE, name: 'longAmongShort', longShare: 0.3, getLoad: () => 1.1 },
  { ...BASE, name: 'saturation', getLoad: () => 1.5 },
  {
    ...BASE,
    name: 'thirdLost',
    getLoad: () => 0.75,
    faults: [
      { atMs: 150_000, kind: 'dead', engines: listEngines(0, 5) },
      { atMs: 210_000, kind: 'back', engines: listEngines(0, 5) },
    ],
  },
  { ...BASE, name: 'staleReports', getLoad: () => 0.9, reportEveryMs: 2_000, reportLagMs: 3_000 },
  { ...BASE, name: 'retryStorm', getLoad: () => 1.3, callerRetries: 4 },
];
