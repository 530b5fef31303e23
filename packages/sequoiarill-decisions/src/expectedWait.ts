/**
 * How long a prompt sent to a target now would wait for its first token.
 *
 * Load pattern: load reports that lag. Without a correction every router reads the same old report,
 * sends to the same idle-looking target, and the target is buried before the next report shows it.
 * So a report counts together with what was sent after it, fades with its age, and never says less
 * than this router's own work there.
 */
import type { TargetChoiceRequest, TargetView } from './targetChoiceTypes';

/** A report is taken as it is up to this age: the usual lag, within which little else changes. */
const REPORT_FRESH_MS = 2_500;
/** An older one loses half of its weight in this time; about the length of a generation. */
const REPORT_HALF_LIFE_MS = 15_000;
/** Older reports say nothing any more. */
const REPORT_MAX_AGE_MS = 30_000;
/** Prefill of one token that is not cached, in milliseconds, where nothing was measured. */
const PREFILL_MS_PER_TOKEN = 0.1;
/** A full target decodes slower than an empty one: the added cost of going from empty to full. */
const BUSY_MS = 150;
/** A request that finds no free slot waits for one; mean time in which one target frees a slot. */
const SLOT_TURNOVER_MS = 250;
/** A round trip to another zone and the price of its links; more than noise, less than a queue. */
const OTHER_ZONE_MS = 60;
/** A slow target is the last resort. */
const SLOW_MS = 5_000;
/** A stream that was cut once should not be the probe of a target that failed lately. */
const PROBE_MS = 2_000;
/** At most so many routers are taken to do what this one does. */
const MAX_OTHERS_FACTOR = 3;
/** How far an estimate is usually off, slots; docs/design/0003 compares it with others. */
const ESTIMATE_ERROR_SLOTS = 1;
/** Beyond this the error makes no difference. */
const MAX_SCALED = 12;
const MIN_WARM_SHARE = 0.05;

/** Work at the target now, its own and others', in generations. */
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
  const corrected = reported + ownChange * computeOthersFactor(reported, ownChange, view, purpose);
  const faded = weight * corrected + (1 - weight) * Math.max(view.inFlight, corrected / 2);
  return Math.max(view.inFlight, faded);
}

/**
 * A loss makes all routers continue their streams at the same moment, towards the same targets that
 * look emptiest; so what this router sent there is taken for its part of what all have sent. For new
 * prompts the routers are independent, and scaling would only make noise of their differences.
 */
function computeOthersFactor(
  reported: number,
  ownChange: number,
  view: TargetView,
  purpose: TargetChoiceRequest['purpose'],
): number {
  if (purpose === 'first' || ownChange <= 0) return 1;
  const ownBefore = Math.max(1, view.inFlight - ownChange);
  return Math.min(MAX_OTHERS_FACTOR, Math.max(1, reported / ownBefore));
}

/**
 * Expected slots that are missing when the estimate errs by some slots either way: near the brim a
 * target is worse than its estimate says, and one with room to spare is better. Without it a router
 * fills its own zone up to the last slot it believes in while another zone has room.
 */
function computeExpectedExcess(excess: number): number {
  const scaled = excess / ESTIMATE_ERROR_SLOTS;
  if (scaled > MAX_SCALED) return excess;
  if (scaled < -MAX_SCALED) return 0;
  return ESTIMATE_ERROR_SLOTS * Math.log1p(Math.exp(scaled));
}

export interface WaitQuestion {
  readonly purpose: TargetChoiceRequest['purpose'];
  readonly zone: string;
  readonly promptTokens: number;
  readonly cachedShare: number;
}

/** Milliseconds; see the constants above for what each part stands for. */
export function computeExpectedWait(view: TargetView, question: WaitQuestion): number {
  const usable = Math.max(1, view.slots * Math.max(view.warmShare, MIN_WARM_SHARE));
  const occupancy = computeOccupancy(view, question.purpose);
  const missingSlots = computeExpectedExcess(occupancy + 1 - usable);
  const prefillMs = question.promptTokens * (1 - question.cachedShare) * PREFILL_MS_PER_TOKEN;
  const zoneMs = view.zone === question.zone ? 0 : OTHER_ZONE_MS;
  const slowMs = view.state === 'slow' ? SLOW_MS : 0;
  const probeMs = view.state === 'new' && question.purpose === 'continuation' ? PROBE_MS : 0;
  const busyMs = (Math.min(occupancy, usable) / usable) * BUSY_MS;
  return busyMs + missingSlots * SLOT_TURNOVER_MS + prefillMs + zoneMs + slowMs + probeMs;
}
