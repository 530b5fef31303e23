/**
 * How long a stream may be silent before its target is taken for lost.
 *
 * Load pattern: a target that pauses, among targets whose gaps grow with load. A fixed threshold is
 * wrong twice: under load it cuts healthy streams and their prefill is spent again, at rest it makes
 * callers wait. So the threshold is a multiple of the gaps measured lately, kept inside the bounds
 * of what the organisation prefers. Bounds: a loss must be repaired within 3 s, so the patient bound
 * stays below that by the time of a cached first token; the eager one below 1 s.
 */
import { build as buildHistogram } from 'hdr-histogram-js';

import type { ResumePreference } from '@sequoiarill/types';

interface PreferenceBounds {
  readonly minGapMs: number;
  readonly maxGapMs: number;
  /** Multiple of the 99.9th percentile of measured gaps. */
  readonly headroom: number;
  /** Least time for a first token besides prefill. */
  readonly firstTokenMs: number;
  readonly prefillHeadroom: number;
}

/** `copied`: another target holds a copy of the run's memory, so that nothing is prefilled again. */
export type StallPreference = ResumePreference | 'copied';

const BOUNDS: Readonly<Record<StallPreference, PreferenceBounds>> = {
  copied: {
    minGapMs: 220,
    maxGapMs: 420,
    headroom: 1.1,
    firstTokenMs: 700,
    prefillHeadroom: 1.2,
  },
  resumeLatency: {
    minGapMs: 300,
    maxGapMs: 900,
    headroom: 3,
    firstTokenMs: 1_500,
    prefillHeadroom: 2,
  },
  resourceUse: {
    minGapMs: 1_500,
    maxGapMs: 2_700,
    headroom: 8,
    firstTokenMs: 4_000,
    prefillHeadroom: 4,
  },
};

/** Gaps in one window of the histogram; two windows are kept, so that old load is forgotten. */
const WINDOW_GAPS = 20_000;
/** Below this many gaps nothing is concluded from them. */
const MIN_GAPS = 200;
const MAX_RECORDED_MS = 10_000;
/** Prefill of one token until it is measured, milliseconds: slow on purpose. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.2;
const PREFILL_WEIGHT = 0.05;
/** A target's own gap, smoothed; a slow one that still delivers gets this multiple. */
const OWN_GAP_WEIGHT = 0.05;
const OWN_GAP_HEADROOM = 6;

export interface StallLimits {
  /** Until the first token, from the moment the request was sent. */
  readonly firstTokenMs: number;
  /** Between tokens. */
  readonly gapMs: number;
}

export interface StallPolicy {
  readonly recordGap: (target: string, ms: number) => void;
  readonly recordFirstToken: (target: string, ms: number, promptTokens: number) => void;
  /** `promptTokens` are those to prefill, with what was generated already. */
  readonly getLimits: (
    target: string,
    preference: StallPreference,
    promptTokens?: number,
  ) => StallLimits;
  readonly removeTarget: (target: string) => void;
}

function createWindow() {
  return buildHistogram({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_RECORDED_MS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}

/** One for each model: targets of different models have different gaps. */
export function createStallPolicy(): StallPolicy {
  const ownGapByTarget = new Map<string, number>();
  let current = createWindow();
  let previous = createWindow();
  let recorded = 0;
  let prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
  let cachedGapMs: number | undefined;

  function recordGap(target: string, ms: number): void {
    const known = ownGapByTarget.get(target) ?? ms;
    ownGapByTarget.set(target, known + (ms - known) * OWN_GAP_WEIGHT);
    current.recordValue(Math.min(Math.max(1, Math.round(ms)), MAX_RECORDED_MS));
    recorded += 1;
    if (recorded % MIN_GAPS === 0) cachedGapMs = undefined;
    if (current.totalCount < WINDOW_GAPS) return;
    const emptied = previous;
    emptied.reset();
    previous = current;
    current = emptied;
  }

  function recordFirstToken(_target: string, ms: number, promptTokens: number): void {
    const perToken = ms / Math.max(1, promptTokens);
    if (promptTokens < MIN_GAPS) return;
    prefillMsPerToken += (perToken - prefillMsPerToken) * PREFILL_WEIGHT;
  }

  function computeTypicalGap(): number {
    const percentile = 99.9;
    if (recorded < MIN_GAPS) return Number.POSITIVE_INFINITY;
    cachedGapMs ??= Math.max(
      current.getValueAtPercentile(percentile),
      previous.getValueAtPercentile(percentile),
    );
    return cachedGapMs;
  }

  function getLimits(target: string, preference: StallPreference, promptTokens = 0): StallLimits {
    const bounds = BOUNDS[preference];
    const ownMs = (ownGapByTarget.get(target) ?? 0) * OWN_GAP_HEADROOM;
    const wantedMs = Math.max(computeTypicalGap() * bounds.headroom, ownMs);
    const gapMs = Math.min(bounds.maxGapMs, Math.max(bounds.minGapMs, wantedMs));
    const prefillMs = promptTokens * prefillMsPerToken * bounds.prefillHeadroom;
    return { gapMs, firstTokenMs: bounds.firstTokenMs + prefillMs };
  }

  function removeTarget(target: string): void {
    ownGapByTarget.delete(target);
  }

  return { recordGap, recordFirstToken, getLimits, removeTarget };
}
