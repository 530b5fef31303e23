/** One router's demand of one organisation: measured, reported, and claimed from the limit. */

/** Demand is smoothed over this time, milliseconds: some requests a router even at 1 a second. */
const SMOOTHING_MS = 2_000;
/** Reported again only when it moved by this part, or to nothing. */
const REPORTED_CHANGE = 0.2;
/** Reported again after this time in any case: makes a lost report good. Milliseconds. */
const REFRESH_MS = 10_000;
/** Nothing is repeated as well, until every router has surely heard it. */
const FORGOTTEN_AFTER_MS = 30_000;

interface Claim {
  readonly demand: number;
  readonly atMs: number;
}

export interface DemandClaims {
  readonly recordDemand: (tokens: number, nowMs: number) => void;
  /** Tokens a second, smoothed. */
  readonly getDemand: (nowMs: number) => number;
  readonly isWorthReporting: (demand: number, nowMs: number) => boolean;
  readonly recordReport: (demand: number, nowMs: number) => void;
  readonly getReported: () => number;
  /** The lowest of what was reported lately: a rise counts once it is old enough, a fall at once. */
  readonly getClaim: (nowMs: number) => number;
  readonly isForgotten: (nowMs: number) => boolean;
}

export function createDemandClaims(propagationMs: number): DemandClaims {
  let smoothed = 0;
  let updatedAtMs = 0;
  let reported = 0;
  let reportedAtMs = Number.NEGATIVE_INFINITY;
  let usedAtMs = 0;
  let claims: readonly Claim[] = [];

  function getDemand(nowMs: number): number {
    smoothed *= Math.exp(-Math.max(0, nowMs - updatedAtMs) / SMOOTHING_MS);
    updatedAtMs = Math.max(nowMs, updatedAtMs);
    return smoothed;
  }

  function recordDemand(tokens: number, nowMs: number): void {
    smoothed = getDemand(nowMs) + (tokens * 1000) / SMOOTHING_MS;
    usedAtMs = nowMs;
  }

  function isWorthReporting(demand: number, nowMs: number): boolean {
    if (demand === 0 && reported === 0) {
      return reportedAtMs > 0 && nowMs - reportedAtMs > REFRESH_MS;
    }
    if (nowMs - reportedAtMs > REFRESH_MS || demand === 0 || reported === 0) return true;
    return Math.abs(demand - reported) > reported * REPORTED_CHANGE;
  }

  function recordReport(demand: number, nowMs: number): void {
    reported = demand;
    reportedAtMs = nowMs;
    claims = [...claims, { demand, atMs: nowMs }];
  }

  function getClaim(nowMs: number): number {
    const settledAtMs = nowMs - propagationMs;
    const settled = claims.findLastIndex((claim) => claim.atMs <= settledAtMs);
    if (settled < 0) return 0;
    claims = claims.slice(settled);
    return Math.min(...claims.map((claim) => claim.demand));
  }

  return {
    recordDemand,
    getDemand,
    isWorthReporting,
    recordReport,
    getReported: () => reported,
    getClaim,
    isForgotten: (nowMs) => reported === 0 && nowMs - usedAtMs > FORGOTTEN_AFTER_MS,
  };
}
