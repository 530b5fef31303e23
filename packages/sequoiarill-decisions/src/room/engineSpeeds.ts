/**
 * Learns how fast the engines of a service are relative to each other.
 *
 * Load pattern: a quarter of the engines run at half the speed of the others. With one prefill time for all, they
 * get as many streams as the fast ones, and their first events are late while fast engines have room.
 */

export interface EngineSpeedsOptions {
  readonly getNowMs: () => number;
}

export interface EngineFactor {
  readonly engine: string;
  /** Duration of the same work there, as a multiple of its duration at the median engine. */
  readonly factor: number;
}

export interface EngineSpeeds {
  /** Records the first quartile of the gaps between the events of a finished run. */
  readonly recordGapQuartile: (engine: string, gapMs: number) => void;
  /** Records the prefill of a prompt that waited for no other. */
  readonly recordPrefill: (engine: string, tokens: number, ms: number) => void;
  /** Records what another router has measured. */
  readonly recordReported: (engine: string, factor: number) => void;
  /** 1 where nothing is known. */
  readonly getFactor: (engine: string) => number;
  /** Engines that this router has measured to be clearly slower or faster, the most deviating first. */
  readonly listNotable: () => readonly EngineFactor[];
  readonly countEngines: () => number;
}

const MIN_FACTOR = 0.25;
const MAX_FACTOR = 8;
/** Below this number of engines a median says little. */
const MIN_ENGINES = 3;
/** Load and neighbours of an engine change within minutes, and it may be restarted under the same name. */
const RETENTION_MS = 60_000;
/** About the last five samples count. */
const SAMPLE_WEIGHT = 0.2;
/** Weight of another router's factor relative to own samples. */
const REPORTED_WEIGHT = 0.5;
const MIN_SLOW_FACTOR = 1.3;
const MAX_FAST_FACTOR = 0.75;
const MAX_NOTABLE = 64;
const MAX_ENGINES = 1_024;
/** Medians of hundreds of engines are not sorted anew for each placement. */
const MEDIAN_TTL_MS = 500;
/** Shorter prompts are not measured: the network latency outweighs their prefill time. */
const MIN_MEASURED_TOKENS = 500;

interface Sample {
  value: number;
  atMs: number;
}

interface Entry {
  gap?: Sample;
  prefill?: Sample;
  reported?: Sample;
  changedAtMs: number;
}

type Measure = 'gap' | 'prefill';

const MEASURES: readonly Measure[] = ['gap', 'prefill'];

function computeMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle];
  const lower = sorted[sorted.length - 1 - middle];
  if (upper === undefined || lower === undefined) return undefined;
  return (lower + upper) / 2;
}

function computeBounded(factor: number): number {
  return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
}

export function createEngineSpeeds({ getNowMs }: EngineSpeedsOptions): EngineSpeeds {
  const entries = new Map<string, Entry>();
  let medians: Partial<Record<Measure, number>> = {};
  let mediansAtMs = Number.NEGATIVE_INFINITY;
  let knownEngines = 0;

  function isFresh(sample: Sample | undefined): sample is Sample {
    return sample !== undefined && getNowMs() - sample.atMs < RETENTION_MS;
  }

  /** Entries are kept in the order of their last change, so the first one is the oldest. */
  function getEntry(engine: string): Entry {
    const changedAtMs = getNowMs();
    const entry = entries.get(engine) ?? { changedAtMs };
    entry.changedAtMs = changedAtMs;
    entries.delete(engine);
    entries.set(engine, entry);
    for (const [name, { changedAtMs: atMs }] of entries) {
      if (entries.size <= MAX_ENGINES && changedAtMs - atMs < RETENTION_MS) break;
      entries.delete(name);
    }
    return entry;
  }

  function recordSample(engine: string, measure: Measure, value: number): void {
    if (!Number.isFinite(value) || value <= 0) return;
    const entry = getEntry(engine);
    const previous = entry[measure];
    const mean = isFresh(previous)
      ? previous.value + (value - previous.value) * SAMPLE_WEIGHT
      : value;
    entry[measure] = { value: mean, atMs: getNowMs() };
  }

  function updateMedians(): void {
    if (getNowMs() - mediansAtMs < MEDIAN_TTL_MS) return;
    mediansAtMs = getNowMs();
    medians = {};
    const known = [...entries.values()];
    for (const measure of MEASURES) {
      const values = known
        .map((entry) => entry[measure])
        .filter(isFresh)
        .map(({ value }) => value);
      const median = values.length < MIN_ENGINES ? undefined : computeMedian(values);
      if (median !== undefined) medians[measure] = median;
    }
    knownEngines = known.filter(
      ({ gap, prefill, reported }) => isFresh(gap) || isFresh(prefill) || isFresh(reported),
    ).length;
  }

  /** From own samples; undefined where there are none to compare. */
  function findOwnFactor(entry: Entry): number | undefined {
    const logs = MEASURES.flatMap((measure) => {
      const sample = entry[measure];
      const median = medians[measure];
      return isFresh(sample) && median !== undefined ? [Math.log(sample.value / median)] : [];
    });
    if (logs.length === 0) return undefined;
    return computeBounded(Math.exp(logs.reduce((sum, log) => sum + log, 0) / logs.length));
  }

  function getFactor(engine: string): number {
    const entry = entries.get(engine);
    if (entry === undefined) return 1;
    updateMedians();
    if (knownEngines < MIN_ENGINES) return 1;
    const own = findOwnFactor(entry);
    const { reported } = entry;
    if (!isFresh(reported)) return own ?? 1;
    if (own === undefined) return reported.value;
    const sum = Math.log(own) + REPORTED_WEIGHT * Math.log(reported.value);
    return computeBounded(Math.exp(sum / (1 + REPORTED_WEIGHT)));
  }

  /** Reported factors are left out: routers would otherwise repeat each other's for good. */
  function listNotable(): readonly EngineFactor[] {
    updateMedians();
    return [...entries]
      .map(([engine, entry]) => ({ engine, factor: findOwnFactor(entry) ?? 1 }))
      .filter(({ factor }) => factor >= MIN_SLOW_FACTOR || factor <= MAX_FAST_FACTOR)
      .sort((left, right) => Math.abs(Math.log(right.factor)) - Math.abs(Math.log(left.factor)))
      .slice(0, MAX_NOTABLE);
  }

  return {
    recordGapQuartile: (engine, gapMs) => recordSample(engine, 'gap', gapMs),
    recordPrefill(engine, tokens, ms) {
      if (tokens >= MIN_MEASURED_TOKENS) recordSample(engine, 'prefill', ms / tokens);
    },
    recordReported(engine, factor) {
      if (!Number.isFinite(factor) || factor <= 0) return;
      getEntry(engine).reported = { value: computeBounded(factor), atMs: getNowMs() };
    },
    getFactor,
    listNotable,
    countEngines: () => entries.size,
  };
}
