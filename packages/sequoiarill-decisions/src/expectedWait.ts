/**
 * Estimates how long a prompt that is sent to a target now would wait for its first token.
 *
 * Load reports lag. Without a correction, all routers would read the same old report and send to
 * the same target that looks idle, which would be overloaded before the next report shows it. So a
 * report is combined with the work that was sent after it, loses weight with its age, and never
 * counts less than this router's own work at the target.
 */
import type { TargetChoiceRequest, TargetView } from './targetChoiceTypes';

/** A report has its full weight up to this age: the usual lag, within which little else changes. */
const REPORT_FRESH_MS = 2_500;
/**
 * An older report loses half of its weight in this time, which is about the length of a generation.
 */
const REPORT_HALF_LIFE_MS = 15_000;
/** Reports older than this are ignored. */
const REPORT_MAX_AGE_MS = 30_000;
/** Prefill time of one uncached token, milliseconds, when there is no measurement. */
const PREFILL_MS_PER_TOKEN = 0.1;
/** A full target decodes more slowly than an empty one; the additional cost of a full target. */
const FULL_TARGET_COST_MS = 150;
/** Mean time in which one target frees a slot, for requests that have to wait for one. */
const SLOT_TURNOVER_MS = 250;
/**
 * Round trip to another zone and the cost of its links; above the noise, below the cost of a queue.
 */
const REMOTE_ZONE_COST_MS = 60;
/** High enough to make a slow target the last resort. */
const SLOW_TARGET_COST_MS = 5_000;
/**
 * Keeps continued streams away from a target that warms up, possibly after a failure: a stream that
 * was interrupted once must not be the request that tests whether the target works again.
 */
const NEW_TARGET_COST_MS = 2_000;
/**
 * Upper bound of the factor by which this router's own change is scaled up to that of all routers.
 */
const MAX_FLEET_FACTOR = 3;
/** Usual error of an estimate, slots; docs/design/0003 compares it with other values. */
const ESTIMATE_ERROR_SLOTS = 1;
/** Beyond this the error has no effect on the result. */
const MAX_SCALED_EXCESS = 12;
const MIN_WARM_SHARE = 0.05;

/** Current work at the target from all routers, in generations. */
export function computeOccupancy(
  view: TargetView,
  purpose: TargetChoiceRequest['purpose'] = 'first',
): number {
  if (view.reportedRunning === undefined) return view.inFlight;
  const ageMs = view.reportAgeMs ?? 0;
  if (ageMs > REPORT_MAX_AGE_MS) return view.inFlight;
  const reported = view.reportedRunning + (view.reportedWaiting ?? 0);
  const weight = 0.5 ** (Math.max(0, ageMs - REPORT_FRESH_MS) / REPORT_HALF_LIFE_MS);
  const ownChange = view.sentSinceReport - (view.endedSinceReport ?? 0);
  const corrected = reported + ownChange * computeFleetFactor(reported, ownChange, view, purpose);
  const discounted = weight * corrected + (1 - weight) * Math.max(view.inFlight, corrected / 2);
  return Math.max(view.inFlight, discounted);
}

/**
 * After a loss all routers continue their streams at the same moment, at the targets that look
 * least loaded, so the work that this router sent there is treated as its share of the work that
 * all routers sent. For new prompts the routers are independent, and scaling would only amplify
 * noise.
 */
function computeFleetFactor(
  reported: number,
  ownChange: number,
  view: TargetView,
  purpose: TargetChoiceRequest['purpose'],
): number {
  if (purpose === 'first' || ownChange <= 0) return 1;
  const ownInFlightBefore = Math.max(1, view.inFlight - ownChange);
  return Math.min(MAX_FLEET_FACTOR, Math.max(1, reported / ownInFlightBefore));
}

/**
 * Expected number of missing slots, given that the estimate may be off by some slots either way: a
 * target that is nearly full is worse than its estimate, one with spare slots is better. Without
 * this a router would fill the local zone up to the last estimated slot while another zone has free
 * ones.
 */
function computeExpectedExcess(excess: number): number {
  const scaled = excess / ESTIMATE_ERROR_SLOTS;
  if (scaled > MAX_SCALED_EXCESS) return excess;
  if (scaled < -MAX_SCALED_EXCESS) return 0;
  return ESTIMATE_ERROR_SLOTS * Math.log1p(Math.exp(scaled));
}

export interface ExpectedWaitQuery {
  readonly purpose: TargetChoiceRequest['purpose'];
  readonly zone: string;
  readonly promptTokens: number;
  readonly cachedShare: number;
}

/** In milliseconds; the constants above explain the parts of the sum. */
export function computeExpectedWait(view: TargetView, query: ExpectedWaitQuery): number {
  const usable = Math.max(1, view.slots * Math.max(view.warmShare, MIN_WARM_SHARE));
  const occupancy = computeOccupancy(view, query.purpose);
  const missingSlots = computeExpectedExcess(occupancy + 1 - usable);
  const prefillMs = query.promptTokens * (1 - query.cachedShare) * PREFILL_MS_PER_TOKEN;
  const zoneMs = view.zone === query.zone ? 0 : REMOTE_ZONE_COST_MS;
  const slowMs = view.state === 'slow' ? SLOW_TARGET_COST_MS : 0;
  const probeMs = view.state === 'new' && query.purpose === 'continuation' ? NEW_TARGET_COST_MS : 0;
  const busyMs = (Math.min(occupancy, usable) / usable) * FULL_TARGET_COST_MS;
  return busyMs + missingSlots * SLOT_TURNOVER_MS + prefillMs + zoneMs + slowMs + probeMs;
}
