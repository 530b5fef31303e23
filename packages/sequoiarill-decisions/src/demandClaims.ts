/** Measures, reports and claims the demand that one organisation has at one router. */

/** Time constant of the smoothed demand; covers some requests even at one a second. */
const SMOOTHING_TIME_CONSTANT_MS = 2_000;
/** Relative change from which a demand is reported again; a drop to 0 is always reported. */
const MIN_REPORTED_CHANGE_RATIO = 0.2;
/** Time after which a demand is reported again in any case, to make up for a lost report. */
const REFRESH_MS = 10_000;
/** A demand of 0 is reported again for this time, after which every router has received it. */
const EXPIRY_MS = 30_000;

interface Claim {
  readonly demand: number;
  readonly atMs: number;
}

export interface DemandClaims {
  readonly recordDemand: (tokens: number, nowMs: number) => void;
  /** Smoothed demand in tokens a second. */
  readonly getDemand: (nowMs: number) => number;
  readonly isWorthReporting: (demand: number, nowMs: number) => boolean;
  readonly recordReport: (demand: number, nowMs: number) => void;
  readonly getReportedDemand: () => number;
  /**
   * The lowest demand reported within the propagation time, including the last report before it: an
   * increase counts once every router has received it, a decrease at once.
   */
  readonly getClaim: (nowMs: number) => number;
  readonly isExpired: (nowMs: number) => boolean;
}

export function createDemandClaims(propagationMs: number): DemandClaims {
  let smoothedDemand = 0;
  let updatedAtMs = 0;
  let reportedDemand = 0;
  let reportedAtMs = Number.NEGATIVE_INFINITY;
  let lastDemandAtMs = 0;
  let claims: readonly Claim[] = [];

  function getDemand(nowMs: number): number {
    smoothedDemand *= Math.exp(-Math.max(0, nowMs - updatedAtMs) / SMOOTHING_TIME_CONSTANT_MS);
    updatedAtMs = Math.max(nowMs, updatedAtMs);
    return smoothedDemand;
  }

  function recordDemand(tokens: number, nowMs: number): void {
    smoothedDemand = getDemand(nowMs) + (tokens * 1000) / SMOOTHING_TIME_CONSTANT_MS;
    lastDemandAtMs = nowMs;
  }

  function isWorthReporting(demand: number, nowMs: number): boolean {
    if (demand === 0 && reportedDemand === 0) {
      return reportedAtMs > 0 && nowMs - reportedAtMs > REFRESH_MS;
    }
    if (nowMs - reportedAtMs > REFRESH_MS || demand === 0 || reportedDemand === 0) return true;
    return Math.abs(demand - reportedDemand) > reportedDemand * MIN_REPORTED_CHANGE_RATIO;
  }

  function recordReport(demand: number, nowMs: number): void {
    reportedDemand = demand;
    reportedAtMs = nowMs;
    claims = [...claims, { demand, atMs: nowMs }];
  }

  function getClaim(nowMs: number): number {
    const propagatedBeforeMs = nowMs - propagationMs;
    const latestPropagated = claims.findLastIndex((claim) => claim.atMs <= propagatedBeforeMs);
    if (latestPropagated < 0) return 0;
    claims = claims.slice(latestPropagated);
    return Math.min(...claims.map((claim) => claim.demand));
  }

  return {
    recordDemand,
    getDemand,
    isWorthReporting,
    recordReport,
    getReportedDemand: () => reportedDemand,
    getClaim,
    isExpired: (nowMs) => reportedDemand === 0 && nowMs - lastDemandAtMs > EXPIRY_MS,
  };
}
