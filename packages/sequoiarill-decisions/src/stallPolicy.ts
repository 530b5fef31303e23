/**
 * Stall detection: computes how long a stream may be silent before its target is considered lost.
 *
 * Load pattern: one target pauses, while the gaps between tokens of all targets grow with load. A fixed
 * threshold fails both ways: under load it cuts healthy streams, whose prefill is then repeated, and
 * without load it makes callers wait. So the threshold is a multiple of recently measured gaps, within
 * bounds that depend on the organisation's preference. A loss must be repaired within 3 s, so the upper
 * bound for `resourceUse` is shorter than that by the time to a cached first token; the one for
 * `resumeLatency` is below 1 s.
 */
import { build as buildHistogram } from 'hdr-histogram-js';

import type { ResumePreference } from '@sequoiarill/types';

interface PreferenceBounds {
  readonly minGapMs: number;
  readonly maxGapMs: number;
  /** Multiple of the 99.9th percentile of measured gaps. */
  readonly headroom: number;
  /** Minimum time allowed for a first token, in addition to prefill. */
  readonly firstTokenMs: number;
  readonly prefillHeadroom: number;
}

/** `copied`: another target holds a copy of the KV cache, so that no prefill has to be repeated. */
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

/** Gaps in one histogram window; only two windows are used, so that old measurements expire. */
const WINDOW_GAPS = 20_000;
/** Minimum number of gaps for a percentile to be used. */
const MIN_GAPS = 200;
const MAX_RECORDED_MS = 10_000;
/** Assumed prefill time per token until it is measured: deliberately long. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.2;
const PREFILL_WEIGHT = 0.05;
/** A target's own smoothed gap times the headroom extends the limit, for slow targets that still deliver. */
const OWN_GAP_WEIGHT = 0.05;
const OWN_GAP_HEADROOM = 6;

export interface StallLimits {
  /** Time until the first token, from the moment the request was sent. */
  readonly firstTokenMs: number;
  /** Time between two tokens. */
  readonly gapMs: number;
}

export interface StallPolicy {
  readonly recordGap: (target: string, ms: number) => void;
  readonly recordFirstToken: (target: string, ms: number, promptTokens: number) => void;
  /** `promptTokens`: tokens to prefill, including those already generated. */
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

/** Each model needs its own policy, because gaps differ between models. */
export function createStallPolicy(): StallPolicy {
  const ownGapByTarget = new Map<string, number>();
  let current = createWindow();
  let previous = createWindow();
  let recorded = 0;
  let prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
  let typicalGapMs: number | undefined;

  function recordGap(target: string, ms: number): void {
    const ownGapMs = ownGapByTarget.get(target) ?? ms;
    ownGapByTarget.set(target, ownGapMs + (ms - ownGapMs) * OWN_GAP_WEIGHT);
    current.recordValue(Math.min(Math.max(1, Math.round(ms)), MAX_RECORDED_MS));
    recorded += 1;
    if (recorded % MIN_GAPS === 0) typicalGapMs = undefined;
    if (current.totalCount < WINDOW_GAPS) return;
    const oldest = previous;
    oldest.reset();
    previous = current;
    current = oldest;
  }

  function recordFirstToken(_target: string, ms: number, promptTokens: number): void {
    const perToken = ms / Math.max(1, promptTokens);
    if (promptTokens < MIN_GAPS) return;
    prefillMsPerToken += (perToken - prefillMsPerToken) * PREFILL_WEIGHT;
  }

  function computeTypicalGap(): number {
    const percentile = 99.9;
    if (recorded < MIN_GAPS) return Number.POSITIVE_INFINITY;
    typicalGapMs ??= Math.max(
      current.getValueAtPercentile(percentile),
      previous.getValueAtPercentile(percentile),
    );
    return typicalGapMs;
  }

  function getLimits(target: string, preference: StallPreference, promptTokens = 0): StallLimits {
    const bounds = BOUNDS[preference];
    const ownMs = (ownGapByTarget.get(target) ?? 0) * OWN_GAP_HEADROOM;
    const desiredMs = Math.max(computeTypicalGap() * bounds.headroom, ownMs);
    const gapMs = Math.min(bounds.maxGapMs, Math.max(bounds.minGapMs, desiredMs));
    const prefillMs = promptTokens * prefillMsPerToken * bounds.prefillHeadroom;
    return { gapMs, firstTokenMs: bounds.firstTokenMs + prefillMs };
  }

  function removeTarget(target: string): void {
    ownGapByTarget.delete(target);
  }

  return { recordGap, recordFirstToken, getLimits, removeTarget };
}
