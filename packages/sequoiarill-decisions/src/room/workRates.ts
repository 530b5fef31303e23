/** Measures the work per second that organisations ask for or get, by level of urgency. */

export interface WorkRatesOptions {
  /** Time constant of the smoothing, milliseconds. */
  readonly timeConstantMs?: number;
}

export interface OrganisationRates {
  readonly organisation: string;
  /** Work per second by level. */
  readonly rates: readonly number[];
}

export interface WorkRates {
  readonly recordWork: (organisation: string, level: number, work: number, nowMs: number) => void;
  readonly listRates: (nowMs: number) => readonly OrganisationRates[];
}

/** Covers some requests even at one a second. */
const DEFAULT_TIME_CONSTANT_MS = 2_000;
/** Organisations measured one by one; the work of others counts under the empty name. */
const MAX_ORGANISATIONS = 1_024;
const MAX_LEVEL = 2;
/** After this many time constants less than a thousandth of the rate is left. */
const IDLE_TIME_CONSTANTS = 7;
/** Idle organisations are removed at most this often when there are too many. */
const REMOVAL_INTERVAL_MS = 1_000;
const MS_PER_SECOND = 1_000;

interface Entry {
  rates: number[];
  updatedAtMs: number;
  recordedAtMs: number;
}

export function createWorkRates(options: WorkRatesOptions = {}): WorkRates {
  const timeConstantMs = options.timeConstantMs ?? DEFAULT_TIME_CONSTANT_MS;
  const entries = new Map<string, Entry>();
  let removedAtMs = Number.NEGATIVE_INFINITY;

  function updateEntry(entry: Entry, nowMs: number): void {
    const elapsedMs = nowMs - entry.updatedAtMs;
    if (elapsedMs <= 0) return;
    const decay = Math.exp(-elapsedMs / timeConstantMs);
    entry.rates = entry.rates.map((rate) => rate * decay);
    entry.updatedAtMs = nowMs;
  }

  function removeIdle(nowMs: number): void {
    for (const [organisation, entry] of entries) {
      const idleMs = nowMs - entry.recordedAtMs;
      if (idleMs > timeConstantMs * IDLE_TIME_CONSTANTS) entries.delete(organisation);
    }
  }

  function getEntry(organisation: string, nowMs: number): Entry {
    const existing = entries.get(organisation);
    if (existing !== undefined) return existing;
    const isFull = entries.size >= MAX_ORGANISATIONS;
    if (isFull && nowMs - removedAtMs >= REMOVAL_INTERVAL_MS) {
      removeIdle(nowMs);
      removedAtMs = nowMs;
    }
    const name = entries.size >= MAX_ORGANISATIONS ? '' : organisation;
    const entry = entries.get(name) ?? { rates: [], updatedAtMs: nowMs, recordedAtMs: nowMs };
    entries.set(name, entry);
    return entry;
  }

  return {
    recordWork(organisation, level, work, nowMs) {
      const isValid = Number.isFinite(work) && work > 0 && Number.isInteger(level) && level >= 0;
      if (!isValid) return;
      const entry = getEntry(organisation, nowMs);
      updateEntry(entry, nowMs);
      const bounded = Math.min(MAX_LEVEL, level);
      while (entry.rates.length <= bounded) entry.rates.push(0);
      entry.rates[bounded] = (entry.rates[bounded] ?? 0) + (work * MS_PER_SECOND) / timeConstantMs;
      entry.recordedAtMs = Math.max(entry.recordedAtMs, nowMs);
    },
    listRates(nowMs) {
      removeIdle(nowMs);
      return [...entries].map(([organisation, entry]) => {
        updateEntry(entry, nowMs);
        return { organisation, rates: [...entry.rates] };
      });
    },
  };
}
