/** What callers got in one played pattern, and what it says about the policy. */
import type { Workload } from './workloads';
import type { PlayRequest } from './requestGenerator';

/** The bounds of a good answer, milliseconds. */
export const FIRST_TOKEN_BOUND_MS = 1_000;
export const GAP_BOUND_MS = 60;
export const PAUSE_BOUND_MS = 3_000;

export interface Finished {
  readonly request: PlayRequest;
  readonly firstTokenMs: number;
  readonly meanGapMs: number;
  /** Longest silence while the stream was continued elsewhere. */
  readonly longestPauseMs: number;
  readonly endedMs: number;
}

export interface Refusal {
  readonly request: PlayRequest;
  readonly atMs: number;
  readonly waitedMs: number;
  /** Part of the slots of usable engines that were free at that moment. */
  readonly freeShare: number;
}

export interface SimulationSummary {
  readonly policy: string;
  readonly pattern: string;
  /** Tokens of good answers that ended in the judged time over what the engines can generate. */
  readonly goodputShare: number;
  /** The same of requests that came in the judged time, over what they asked for or capacity. */
  readonly goodputOfAsked: number;
  readonly p95FirstTokenMs: number;
  readonly p50FirstTokenMs: number;
  /** Tokens served to the worst organisation over its max-min fair share. */
  readonly worstShare: number;
  /** Generated for no good answer or prefilled again, over all generated. */
  readonly wastedShare: number;
  readonly longestPauseMs: number;
  readonly asked: number;
  readonly finished: number;
  readonly refused: number;
  /** Refused with at least a tenth of the usable slots free. */
  readonly refusedWrongly: number;
  /** Refused after waiting, not at the door. */
  readonly refusedLate: number;
  readonly abandoned: number;
  readonly failed: number;
}

export interface Ledger {
  readonly recordAsked: (request: PlayRequest) => void;
  readonly recordFinished: (finished: Finished) => void;
  readonly recordRefused: (refusal: Refusal) => void;
  readonly recordAbandoned: (request: PlayRequest, waitedMs: number) => void;
  readonly recordFailed: (request: PlayRequest) => void;
  readonly recordWaste: (tokens: number, atMs: number) => void;
  readonly getSummary: (policy: string, capacityTokensPerSecond: number) => SimulationSummary;
}

/** Waiting is not late unless a caller could notice. */
const NOTICED_MS = 50;
const FREE_SHARE = 0.1;

export function createLedger(pattern: Workload): Ledger {
  const firstTokens: number[] = [];
  const askedTokens = new Map<string, number>();
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

  function isJudged(atMs: number): boolean {
    return atMs >= pattern.judgedFromMs && atMs < pattern.endMs;
  }

  function recordAsked(request: PlayRequest): void {
    if (!isJudged(request.arrivedMs)) return;
    counts.asked += 1;
    addTokens(askedTokens, request.organisation, request.outputTokens);
  }

  function recordFinished(finished: Finished): void {
    const { request, firstTokenMs } = finished;
    if (isJudged(request.arrivedMs)) {
      firstTokens.push(firstTokenMs);
      counts.finished += 1;
      longestPauseMs = Math.max(longestPauseMs, finished.longestPauseMs);
      if (isGood(finished)) addTokens(servedTokens, request.organisation, request.outputTokens);
    }
    if (!isJudged(finished.endedMs)) return;
    if (isGood(finished)) goodTokens += request.outputTokens;
    else wastedTokens += request.outputTokens;
  }

  function recordRefused(refusal: Refusal): void {
    if (!isJudged(refusal.atMs)) return;
    counts.refused += 1;
    if (refusal.waitedMs > NOTICED_MS) counts.late += 1;
    if (refusal.freeShare >= FREE_SHARE) counts.wrongly += 1;
  }

  function recordAbandoned(request: PlayRequest, waitedMs: number): void {
    if (!isJudged(request.arrivedMs)) return;
    counts.abandoned += 1;
    firstTokens.push(waitedMs);
  }

  function recordFailed(request: PlayRequest): void {
    if (isJudged(request.arrivedMs)) counts.failed += 1;
  }

  function recordWaste(tokens: number, atMs: number): void {
    if (isJudged(atMs)) wastedTokens += tokens;
  }

  function getSummary(policy: string, capacity: number): SimulationSummary {
    const seconds = (pattern.endMs - pattern.judgedFromMs) / 1000;
    const possible = Math.min(computeSum(askedTokens), capacity * seconds);
    return {
      policy,
      pattern: pattern.name,
      goodputShare: goodTokens / (capacity * seconds),
      goodputOfAsked: computeSum(servedTokens) / possible,
      p95FirstTokenMs: Math.round(pickPercentile(firstTokens, 0.95)),
      p50FirstTokenMs: Math.round(pickPercentile(firstTokens, 0.5)),
      worstShare: computeWorstShare(pattern, askedTokens, servedTokens),
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
    recordAsked,
    recordFinished,
    recordRefused,
    recordAbandoned,
    recordFailed,
    recordWaste,
    getSummary,
  };
}

function isGood(finished: Finished): boolean {
  if (finished.firstTokenMs > FIRST_TOKEN_BOUND_MS) return false;
  if (finished.meanGapMs > GAP_BOUND_MS) return false;
  return finished.longestPauseMs <= PAUSE_BOUND_MS;
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

/** Max-min fairness: nobody gets more than it asked for, the rest is divided by weight. */
function computeWorstShare(
  pattern: Workload,
  asked: ReadonlyMap<string, number>,
  served: ReadonlyMap<string, number>,
): number {
  let left = computeSum(served);
  let open = [...pattern.organisations];
  const fair = new Map<string, number>();
  while (open.length > 0) {
    const weights = open.reduce((sum, { weight }) => sum + weight, 0);
    const level = left / weights;
    const full = open.filter(({ name, weight }) => (asked.get(name) ?? 0) <= level * weight);
    const settled = full.length > 0 ? full : open;
    for (const { name, weight } of settled) {
      const share = full.length > 0 ? (asked.get(name) ?? 0) : level * weight;
      fair.set(name, share);
      left -= share;
    }
    open = open.filter((one) => !settled.includes(one));
  }
  const ratios = [...fair].map(([name, share]) => (served.get(name) ?? 0) / Math.max(1, share));
  return Math.min(...ratios);
}
