/** Metrics of one simulated run: what callers received, and how well the policy did. */
import type { SimulatedRequest } from './requestGenerator';
import type { Workload } from './workloads';

/** Limits within which an answer counts as good. */
export const MAX_FIRST_TOKEN_MS = 1_000;
export const MAX_MEAN_GAP_MS = 60;
export const MAX_PAUSE_MS = 3_000;

export interface FinishedRequest {
  readonly request: SimulatedRequest;
  readonly firstTokenMs: number;
  readonly meanGapMs: number;
  /** Longest interruption while the stream was continued on another engine. */
  readonly longestPauseMs: number;
  readonly endedMs: number;
}

export interface RefusedRequest {
  readonly request: SimulatedRequest;
  readonly atMs: number;
  readonly waitedMs: number;
  /** Fraction of the usable engines' slots that were free at that time. */
  readonly freeShare: number;
}

export interface SimulationSummary {
  readonly policy: string;
  readonly pattern: string;
  /** Tokens of good answers that ended in the measured interval, as a share of capacity. */
  readonly goodputShare: number;
  /**
   * Tokens of good answers to requests that arrived in the measured interval, as a share of the tokens they
   * requested or of capacity, whichever is lower.
   */
  readonly goodputOfAsked: number;
  readonly p95FirstTokenMs: number;
  readonly p50FirstTokenMs: number;
  /** Lowest ratio of any organisation: tokens served to it over its max-min fair share. */
  readonly worstShare: number;
  /** Tokens of answers that were not good, cancelled or prefilled again, as a share of all tokens. */
  readonly wastedShare: number;
  readonly longestPauseMs: number;
  readonly asked: number;
  readonly finished: number;
  readonly refused: number;
  /** Refused with at least a tenth of the usable slots free. */
  readonly refusedWrongly: number;
  /** Refused after waiting in the queue instead of on arrival. */
  readonly refusedLate: number;
  readonly abandoned: number;
  readonly failed: number;
}

export interface SimulationMetrics {
  readonly recordArrival: (request: SimulatedRequest) => void;
  readonly recordFinished: (finished: FinishedRequest) => void;
  readonly recordRefused: (refusal: RefusedRequest) => void;
  readonly recordAbandoned: (request: SimulatedRequest, waitedMs: number) => void;
  readonly recordFailed: (request: SimulatedRequest) => void;
  readonly recordWastedTokens: (tokens: number, atMs: number) => void;
  readonly getSummary: (policy: string, capacityTokensPerSecond: number) => SimulationSummary;
}

/** A refusal counts as late only after a wait that a caller could notice. */
const NOTICEABLE_WAIT_MS = 50;
const WRONG_REFUSAL_FREE_SHARE = 0.1;

export function createSimulationMetrics(workload: Workload): SimulationMetrics {
  const firstTokenTimesMs: number[] = [];
  const requestedTokens = new Map<string, number>();
  const servedTokens = new Map<string, number>();
  const counts = {
    asked: 0,
    finished: 0,
    refused: 0,
    wrongly: 0,
    late: 0,
    abandoned: 0,
    failed: 0,
  };
  let goodTokens = 0;
  let wastedTokens = 0;
  let longestPauseMs = 0;

  function isMeasured(atMs: number): boolean {
    return atMs >= workload.measuredFromMs && atMs < workload.endMs;
  }

  function recordArrival(request: SimulatedRequest): void {
    if (!isMeasured(request.arrivedMs)) return;
    counts.asked += 1;
    addTokens(requestedTokens, request.organisation, request.outputTokens);
  }

  function recordFinished(finished: FinishedRequest): void {
    const { request, firstTokenMs } = finished;
    if (isMeasured(request.arrivedMs)) {
      firstTokenTimesMs.push(firstTokenMs);
      counts.finished += 1;
      longestPauseMs = Math.max(longestPauseMs, finished.longestPauseMs);
      if (isGood(finished)) addTokens(servedTokens, request.organisation, request.outputTokens);
    }
    if (!isMeasured(finished.endedMs)) return;
    if (isGood(finished)) goodTokens += request.outputTokens;
    else wastedTokens += request.outputTokens;
  }

  function recordRefused(refusal: RefusedRequest): void {
    if (!isMeasured(refusal.atMs)) return;
    counts.refused += 1;
    if (refusal.waitedMs > NOTICEABLE_WAIT_MS) counts.late += 1;
    if (refusal.freeShare >= WRONG_REFUSAL_FREE_SHARE) counts.wrongly += 1;
  }

  function recordAbandoned(request: SimulatedRequest, waitedMs: number): void {
    if (!isMeasured(request.arrivedMs)) return;
    counts.abandoned += 1;
    firstTokenTimesMs.push(waitedMs);
  }

  function recordFailed(request: SimulatedRequest): void {
    if (isMeasured(request.arrivedMs)) counts.failed += 1;
  }

  function recordWastedTokens(tokens: number, atMs: number): void {
    if (isMeasured(atMs)) wastedTokens += tokens;
  }

  function getSummary(policy: string, capacity: number): SimulationSummary {
    const seconds = (workload.endMs - workload.measuredFromMs) / 1000;
    const possible = Math.min(computeSum(requestedTokens), capacity * seconds);
    return {
      policy,
      pattern: workload.name,
      goodputShare: goodTokens / (capacity * seconds),
      goodputOfAsked: computeSum(servedTokens) / possible,
      p95FirstTokenMs: Math.round(pickPercentile(firstTokenTimesMs, 0.95)),
      p50FirstTokenMs: Math.round(pickPercentile(firstTokenTimesMs, 0.5)),
      worstShare: computeWorstShare(workload, requestedTokens, servedTokens),
      wastedShare: wastedTokens / Math.max(1, goodTokens + wastedTokens),
      longestPauseMs: Math.round(longestPauseMs),
      asked: counts.asked,
      finished: counts.finished,
      refused: counts.refused,
      refusedWrongly: counts.wrongly,
      refusedLate: counts.late,
      abandoned: counts.abandoned,
      failed: counts.failed,
    };
  }

  return {
    recordArrival,
    recordFinished,
    recordRefused,
    recordAbandoned,
    recordFailed,
    recordWastedTokens,
    getSummary,
  };
}

function isGood(finished: FinishedRequest): boolean {
  if (finished.firstTokenMs > MAX_FIRST_TOKEN_MS) return false;
  if (finished.meanGapMs > MAX_MEAN_GAP_MS) return false;
  return finished.longestPauseMs <= MAX_PAUSE_MS;
}

function addTokens(tokensByName: Map<string, number>, name: string, tokens: number): void {
  tokensByName.set(name, (tokensByName.get(name) ?? 0) + tokens);
}

function pickPercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function computeSum(tokensByName: ReadonlyMap<string, number>): number {
  return [...tokensByName.values()].reduce((sum, tokens) => sum + tokens, 0);
}

/** Max-min fairness: no organisation gets more than it requested; the rest is divided by weight. */
function computeWorstShare(
  workload: Workload,
  requested: ReadonlyMap<string, number>,
  served: ReadonlyMap<string, number>,
): number {
  let remaining = computeSum(served);
  let unsettled = [...workload.organisations];
  const fairShares = new Map<string, number>();
  while (unsettled.length > 0) {
    const weights = unsettled.reduce((sum, { weight }) => sum + weight, 0);
    const level = remaining / weights;
    const satisfied = unsettled.filter(
      ({ name, weight }) => (requested.get(name) ?? 0) <= level * weight,
    );
    const settled = satisfied.length > 0 ? satisfied : unsettled;
    for (const { name, weight } of settled) {
      const share = satisfied.length > 0 ? (requested.get(name) ?? 0) : level * weight;
      fairShares.set(name, share);
      remaining -= share;
    }
    unsettled = unsettled.filter((one) => !settled.includes(one));
  }
  const ratios = [...fairShares].map(
    ([name, share]) => (served.get(name) ?? 0) / Math.max(1, share),
  );
  return Math.min(...ratios);
}
