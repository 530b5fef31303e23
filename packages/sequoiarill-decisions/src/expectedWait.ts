/**
 * How long a prompt sent to a target now would wait for its first token.
 *
 * Load pattern: load reports that lag. Without a correction every router reads the same old report,
 * sends to the same idle-looking target, and the target is buried before the next report shows it.
 * So a report counts together with what was sent after it, fades with its age, and never says less
 * than this router's own work there.
 */
import type { TargetView } from './targets';

/** A report loses half of its weight in this time; about the time in which a slot changes hands. */
const REPORT_HALF_LIFE_MS = 4_000;
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
const MIN_WARM_SHARE = 0.05;

/** Work at the target now, its own and others', in generations. */
export function computeOccupancy(view: TargetView): number {
  if (view.reportedRunning === undefined) return view.inFlight;
  const ageMs = view.reportAgeMs ?? 0;
  if (ageMs > REPORT_MAX_AGE_MS) return view.inFlight;
  const reported = view.reportedRunning + (view.reportedWaiting ?? 0);
  const weight = 0.5 ** (ageMs / REPORT_HALF_LIFE_MS);
  const corrected = reported + view.sentSinceReport;
  const faded = weight * corrected + (1 - weight) * Math.max(view.inFlight, corrected / 2);
  return Math.max(view.inFlight, faded);
}

export interface WaitQuestion {
  readonly zone: string;
  readonly promptTokens: number;
  readonly cachedShare: number;
}

/** Milliseconds; see the constants above for what each part stands for. */
export function computeExpectedWait(view: TargetView, question: WaitQuestion): number {
  const usable = Math.max(1, view.slots * Math.max(view.warmShare, MIN_WARM_SHARE));
  const occupancy = computeOccupancy(view);
  const missingSlots = Math.max(0, occupancy + 1 - usable);
  const prefillMs = question.promptTokens * (1 - question.cachedShare) * PREFILL_MS_PER_TOKEN;
  const zoneMs = view.zone === question.zone ? 0 : OTHER_ZONE_MS;
  const slowMs = view.state === 'slow' ? SLOW_MS : 0;
  const busyMs = (Math.min(occupancy, usable) / usable) * BUSY_MS;
  return busyMs + missingSlots * SLOT_TURNOVER_MS + prefillMs + zoneMs + slowMs;
}
