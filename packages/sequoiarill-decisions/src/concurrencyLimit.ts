/**
 * How many generations a router keeps running at once, found from the time to the first token.
 *
 * Load pattern: saturation, and a fleet that loses or regains targets. A fixed limit is too high
 * after a loss, so engines queue and every first token is late, or too low afterwards, so engines
 * idle. The limit falls when first tokens are late, in proportion to how late, and rises while it is
 * in use, ever slower towards the target, so that it settles instead of swinging. It never moves
 * without fresh samples: after a cut the running generations end first, and their silence is no
 * reason for a second cut.
 */

export interface ConcurrencyLimitOptions {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
  /** Wanted 80th percentile of the wait for a slot of an engine, in milliseconds. */
  readonly targetMs: number;
}

export interface ConcurrencyLimit {
  /** One first token of a generation that was let in; `inFlight` as it was let in. */
  readonly recordFirstToken: (ms: number, inFlight: number, nowMs: number) => void;
  /**
   * Slots of the targets that can be used now, weighted by how warm they are. A change moves the limit
   * in proportion at once: after a third of the targets is lost, the streams that are continued need
   * every slot that is left, and finding the new limit from late first tokens takes half a minute.
   * `busyShare`: part of these slots that is taken by reports, all routers together. While slots are
   * free, late first tokens have another cause (a slow target, cold caches), and a lower limit would
   * refuse callers without helping anybody.
   */
  readonly setCapacity: (slots: number, busyShare?: number) => void;
  readonly getLimit: () => number;
}

/**
 * A wait that only comes up when engines have no slot free, and leaves a second for the queue before
 * them. Milliseconds; docs/design/0003 compares it with others.
 */
export const DEFAULT_WAIT_TARGET_MS = 30;
/** Judged are the newest samples: three seconds of a small router, less of a busy one. */
const JUDGED_SAMPLES = 40;
const JUDGED_SHARE = 0.8;
/**
 * The limit moves by these parts a second, a little with each sample. Moved by three seconds' worth at
 * once, each cut swallows the slots of the next generations that end, and nothing starts for half a
 * second.
 */
const CUT_PER_SECOND = 0.01;
const RISE_PER_SECOND = 0.01;
/** A small limit rises by a third of a generation a second at least. */
const MIN_RISE_PER_SECOND = 0.33;
/** Waits this many times over the target cut as much faster, up to the most. */
const SEVERE_FACTOR = 10;
const MAX_SEVERITY = 3;
/** A longer silence counts as this, milliseconds. */
const MAX_STEP_MS = 1_000;
/**
 * Below this the targets are not what makes first tokens late. Without it a bad choice of target, which
 * makes them late at any load, lowers the limit to a small part of the capacity.
 */
const MIN_BUSY_SHARE = 0.93;
/** The limit only rises while this share of it is in use: unused room proves nothing. */
const IN_USE_SHARE = 0.85;

export function createConcurrencyLimit(options: ConcurrencyLimitOptions): ConcurrencyLimit {
  let limit = options.initial;
  let samples: readonly Sample[] = [];
  let lastMs: number | undefined;
  let capacity: number | undefined;
  let isBusy = true;

  function recordFirstToken(ms: number, inFlight: number, nowMs: number): void {
    samples = [...samples.slice(-(JUDGED_SAMPLES - 1)), { ms, inFlight }];
    const stepMs = Math.min(MAX_STEP_MS, Math.max(0, nowMs - (lastMs ?? nowMs)));
    lastMs = nowMs;
    if (samples.length < JUDGED_SAMPLES) return;
    const judgedMs = pickRank(samples, JUDGED_SHARE);
    const highest = samples.reduce((most, sample) => Math.max(most, sample.inFlight), 0);
    const seconds = stepMs / 1000;
    if (judgedMs <= options.targetMs) applyRise(judgedMs, highest, seconds);
    else if (isBusy) applyCut(judgedMs, highest, seconds);
  }

  function applyCut(judgedMs: number, highest: number, seconds: number): void {
    const lateness = judgedMs / (options.targetMs * SEVERE_FACTOR);
    const severity = Math.min(MAX_SEVERITY, Math.max(1, lateness));
    const used = Math.min(limit, highest + 1);
    limit = Math.max(options.min, used * (1 - CUT_PER_SECOND * severity * seconds));
  }

  function applyRise(judgedMs: number, highest: number, seconds: number): void {
    if (highest < limit * IN_USE_SHARE) return;
    const room = 1 - judgedMs / options.targetMs;
    const step = Math.max(MIN_RISE_PER_SECOND, limit * RISE_PER_SECOND) * seconds;
    limit = Math.min(options.max, limit + step * room);
  }

  function setCapacity(slots: number, busyShare = 1): void {
    isBusy = busyShare >= MIN_BUSY_SHARE;
    if (slots <= 0 || slots === capacity) return;
    const factor = slots / (capacity ?? slots);
    capacity = slots;
    limit = Math.min(options.max, Math.max(options.min, limit * factor));
  }

  return { recordFirstToken, setCapacity, getLimit: () => Math.floor(limit) };
}

interface Sample {
  readonly ms: number;
  readonly inFlight: number;
}

function pickRank(samples: readonly Sample[], share: number): number {
  const sorted = samples.map((sample) => sample.ms).sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
