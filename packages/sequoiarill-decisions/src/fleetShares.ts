/**
 * Enforces an organisation's limit over many routers without a central counter.
 *
 * The callers of an organisation reach some routers much more often than others, behind a load
 * balancer that is not under the system's control. With an even split, most of the limit would be
 * unused at routers without demand; with a central counter, each request would wait for a service
 * that may be unavailable. So each router's share of the limit follows its own demand in relation
 * to the demand that all routers have reported.
 *
 * The sum of the shares stays at or below 1, apart from the error stated below: a router raises its
 * own claim only after its report has had time to reach all routers, and lowers it at once; the
 * claims of routers that stop reporting are kept until membership reports that the router ended;
 * and the sides of a network partition continue with the parts that they had (see partitionShares).
 *
 * Error in the steady state: the share that all routers reserve for new demand, `EVEN_SPLIT_SHARE`
 * in total, and as much again for demand that is too small to report. While the reported demand of
 * an organisation is below half of its limit, nothing has to be shared and each router may use half
 * of the limit, so that occasional callers, who reach another router each time, are never refused.
 * In that state a sudden rise at all routers at once can exceed the limit until reports have
 * arrived (`propagationMs` and one round of reports).
 */
import * as Claims from './demandClaims';
import * as DemandMatrices from './demandMatrix';
import * as PartitionShares from './partitionShares';

/**
 * Share of a limit that is split evenly, so that a router without earlier demand can admit
 * requests.
 */
const EVEN_SPLIT_SHARE = 0.1;
/** Demand below this share of the router's even split is not reported. */
const MIN_REPORTED_SHARE = 0.1;
/** While demand is below this share of the limit, the limit is not divided. */
const LOW_DEMAND_THRESHOLD = 0.5;
/** Each router's share of the limit while demand is low. */
const LOW_DEMAND_SHARE = 0.5;
/** Organisations in one report, the largest changes first; bounds the bytes sent a second. */
const DEFAULT_MAX_REPORT_ENTRIES = 64;
/** Two seconds between reports, and one second for a report to reach all routers. */
const DEFAULT_PROPAGATION_MS = 3_000;
/** Demand below this counts as none. */
const MIN_DEMAND_TOKENS_PER_SECOND = 1;

export interface FleetSharesOptions {
  readonly routerName: string;
  readonly incarnation: number;
  /** Number of routers that share the limits, including this one. */
  readonly getRouterCount: () => number;
  /** The organisation's limit over all routers, tokens a second; 0 for an unknown organisation. */
  readonly getLimit: (organisation: string) => number;
  /** Longest usual time until a report has reached every router, milliseconds. */
  readonly propagationMs?: number;
  readonly maxEntries?: number;
}

export interface DemandEntry {
  readonly organisation: string;
  /** Estimated tokens a second requested at this router, admitted or not. */
  readonly demand: number;
}

/** Changes of one router's demand since its last report. */
export interface DemandReport {
  readonly router: string;
  /** Increases with each start of the router, which voids its earlier claims. */
  readonly incarnation: number;
  /** Increases with each report; an older report that arrives late is ignored. */
  readonly sequence: number;
  readonly entries: readonly DemandEntry[];
}

export interface FleetShares {
  readonly recordDemand: (organisation: string, tokens: number, nowMs: number) => void;
  /** To be sent to every router every two seconds; a report without entries need not be sent. */
  readonly buildReport: (nowMs: number) => DemandReport;
  readonly applyReport: (report: DemandReport) => void;
  /** Releases the claims of a router that has ended according to membership. */
  readonly removeRouter: (router: string) => void;
  /**
   * Sets the routers that are unreachable but may still serve requests; to be called within
   * `propagationMs` of each change.
   */
  readonly setUnreachable: (routers: ReadonlySet<string>, nowMs: number) => void;
  /** This router's share of the organisation's limit, 0 to 1. */
  readonly getShare: (organisation: string, nowMs: number) => number;
}

interface ReportPosition {
  readonly incarnation: number;
  readonly sequence: number;
}

export function createFleetShares(options: FleetSharesOptions): FleetShares {
  const propagationMs = options.propagationMs ?? DEFAULT_PROPAGATION_MS;
  const maxEntries = options.maxEntries ?? DEFAULT_MAX_REPORT_ENTRIES;
  const claimsByOrganisation = new Map<string, Claims.DemandClaims>();
  const peerDemands = DemandMatrices.createDemandMatrix();
  const lastPositions = new Map<string, ReportPosition>();
  const partitionShares = PartitionShares.createPartitionShares();
  let sequence = 0;

  function recordDemand(organisation: string, tokens: number, nowMs: number): void {
    const existing = claimsByOrganisation.get(organisation);
    const claims = existing ?? Claims.createDemandClaims(propagationMs);
    if (existing === undefined) claimsByOrganisation.set(organisation, claims);
    claims.recordDemand(tokens, nowMs);
  }

  function listChanged(nowMs: number): readonly DemandEntry[] {
    const changed: DemandEntry[] = [];
    const evenSplit = 1 / Math.max(1, options.getRouterCount());
    for (const [organisation, claims] of claimsByOrganisation) {
      const measured = claims.getDemand(nowMs);
      const floor = options.getLimit(organisation) * evenSplit * MIN_REPORTED_SHARE;
      const demand = measured < Math.max(MIN_DEMAND_TOKENS_PER_SECOND, floor) ? 0 : measured;
      if (claims.isWorthReporting(demand, nowMs)) changed.push({ organisation, demand });
      else if (claims.isExpired(nowMs)) claimsByOrganisation.delete(organisation);
    }
    return changed;
  }

  function buildReport(nowMs: number): DemandReport {
    sequence += 1;
    const changed = [...listChanged(nowMs)];
    // By change and not by demand: otherwise a busy router would never report the end of a demand,
    // and its share of the limit would stay unused at this router for good.
    changed.sort((left, right) => computeChange(right) - computeChange(left));
    const entries = changed.slice(0, maxEntries);
    for (const { organisation, demand } of entries) {
      claimsByOrganisation.get(organisation)?.recordReport(demand, nowMs);
    }
    const { routerName: router, incarnation } = options;
    return { router, incarnation, sequence, entries };
  }

  /** Drops a report that arrives after a newer one; the next refresh reports its demand again. */
  function applyReport(report: DemandReport): void {
    const { router, incarnation, sequence: reportSequence } = report;
    if (router === options.routerName) return;
    const previous = lastPositions.get(router);
    if (previous !== undefined && incarnation < previous.incarnation) return;
    if (previous?.incarnation === incarnation && reportSequence <= previous.sequence) return;
    if (previous !== undefined && incarnation > previous.incarnation) removeRouter(router);
    lastPositions.set(router, { incarnation, sequence: reportSequence });
    for (const { organisation, demand } of report.entries) {
      peerDemands.setDemand(router, organisation, demand);
    }
  }

  function removeRouter(router: string): void {
    peerDemands.removeRouter(router);
  }

  function getReported(organisation: string): number {
    return claimsByOrganisation.get(organisation)?.getReportedDemand() ?? 0;
  }

  function computeChange(entry: DemandEntry): number {
    return Math.abs(entry.demand - getReported(entry.organisation));
  }

  function splitDemand(
    organisation: string,
    routers: ReadonlySet<string>,
  ): PartitionShares.SplitDemand {
    let unreachable = 0;
    for (const router of routers) unreachable += peerDemands.getDemand(router, organisation);
    const reachablePeerDemand = Math.max(0, peerDemands.getTotal(organisation) - unreachable);
    const reachable = getReported(organisation) + reachablePeerDemand;
    return { organisation, reachable, unreachable };
  }

  function setUnreachable(routers: ReadonlySet<string>, nowMs: number): void {
    const previous = partitionShares.getUnreachable(nowMs);
    const newlyLost = new Set([...routers].filter((router) => !previous.has(router)));
    const organisations = new Set([
      ...claimsByOrganisation.keys(),
      ...peerDemands.listOrganisations(),
    ]);
    const demands = [...organisations].map((name) => splitDemand(name, newlyLost));
    partitionShares.setUnreachable(routers, options.getRouterCount(), demands, nowMs);
  }

  function getShare(organisation: string, nowMs: number): number {
    const count = Math.max(1, options.getRouterCount());
    if (count === 1) return 1;
    const part = partitionShares.getShare(organisation, nowMs);
    const unreachable = partitionShares.getUnreachable(nowMs);
    const { reachable } = splitDemand(organisation, unreachable);
    const floor = EVEN_SPLIT_SHARE / count;
    const isLow = reachable < options.getLimit(organisation) * part * LOW_DEMAND_THRESHOLD;
    if (isLow) return Math.max(LOW_DEMAND_SHARE, 1 / Math.max(1, count - unreachable.size)) * part;
    const claimed = claimsByOrganisation.get(organisation)?.getClaim(nowMs) ?? 0;
    const reachablePeerDemand = reachable - getReported(organisation);
    if (claimed + reachablePeerDemand < MIN_DEMAND_TOKENS_PER_SECOND) return floor;
    return floor + (1 - EVEN_SPLIT_SHARE) * part * (claimed / (claimed + reachablePeerDemand));
  }

  return { recordDemand, buildReport, applyReport, removeRouter, setUnreachable, getShare };
}
