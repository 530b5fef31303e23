/**
 * An organisation's limit over many routers without a central counter.
 *
 * Load pattern: an organisation whose callers reach some routers much more than others, behind a
 * balancer that nobody controls. Split evenly, most of its limit lies idle where nobody asks for it;
 * counted centrally, each request waits for a counter that may be away. Here each router's share of
 * the limit follows the demand it sees as a part of the demand that all routers have reported.
 *
 * Why the sum of shares stays at or below 1 but for a stated error: a router raises its own claim
 * only after its report has had time to arrive everywhere, and lowers it at once; the claims of
 * routers that fall silent are kept until membership says that the router ended; and the sides of a
 * network partition go on with the parts that they had (see partitionParts).
 * Error in the steady state: the floor that every router keeps for new demand, `FLOOR` in all, and
 * demand too small to report, as much again. While the reported demand of an organisation is below
 * half of its limit, nothing has to be shared and each router may use half of it: sparse callers, who
 * reach another router each time, are then never refused. A sudden rise everywhere at once can
 * overshoot in that state, for the time a report takes (`propagationMs` and one round of reports).
 */
import * as Claims from './demandClaims';
import * as DemandTables from './demandTable';
import * as PartitionShares from './partitionShares';

/** Part of a limit that is split evenly, so that a router that had no demand can start at all. */
const FLOOR = 0.1;
/** Demand below this part of the router's even split is not reported. */
const REPORTED_FROM = 0.1;
/** Below this part of the limit nothing is shared out. */
const QUIET = 0.5;
/** Each router's part while the organisation is quiet. */
const QUIET_SHARE = 0.5;
/** Organisations in one report; the largest changes first. Bounds the bytes a second. */
const DEFAULT_MAX_ENTRIES = 64;
/** A report each two seconds, and one second to reach everybody. */
const DEFAULT_PROPAGATION_MS = 3_000;
/** Demand below this is nothing, tokens a second. */
const MIN_DEMAND = 1;

export interface FleetSharesOptions {
  readonly routerName: string;
  readonly incarnation: number;
  /** Routers that the limits are shared by, this one among them. */
  readonly getRouterCount: () => number;
  /** The organisation's limit over the fleet, tokens a second; 0 for one that is not known. */
  readonly getLimit: (organisation: string) => number;
  /** Longest usual way of a report to every router, milliseconds. */
  readonly propagationMs?: number;
  readonly maxEntries?: number;
}

export interface DemandEntry {
  readonly organisation: string;
  /** Estimated tokens a second asked for here, whether admitted or not. */
  readonly demand: number;
}

/** What changed of one router's demand since its last report. */
export interface DemandReport {
  readonly router: string;
  /** Rises with each start of the router: its earlier claims are void. */
  readonly incarnation: number;
  /** Rises with each report; an older one that arrives late is ignored for what is newer. */
  readonly sequence: number;
  readonly entries: readonly DemandEntry[];
}

export interface FleetShares {
  readonly recordDemand: (organisation: string, tokens: number, nowMs: number) => void;
  /** To be sent to every router every two seconds; empty entries need no sending. */
  readonly buildReport: (nowMs: number) => DemandReport;
  readonly applyReport: (report: DemandReport) => void;
  /** Membership says that the router has ended: what it claimed is free. */
  readonly removeRouter: (router: string) => void;
  /**
   * Routers that can't be reached just now and may be serving; to be told at each change, within
   * `propagationMs` of it.
   */
  readonly setUnreachable: (routers: ReadonlySet<string>, nowMs: number) => void;
  /** This router's part of the organisation's limit, 0 to 1. */
  readonly getShare: (organisation: string, nowMs: number) => number;
}

interface KnownReport {
  readonly incarnation: number;
  readonly sequence: number;
}

export function createFleetShares(options: FleetSharesOptions): FleetShares {
  const propagationMs = options.propagationMs ?? DEFAULT_PROPAGATION_MS;
  const maxEntries = options.maxEntries ?? DEFAULT_MAX_ENTRIES;
  const claimsByOrganisation = new Map<string, Claims.DemandClaims>();
  const peers = DemandTables.createDemandTable();
  const lastReports = new Map<string, KnownReport>();
  const parts = PartitionShares.createPartitionShares();
  let sequence = 0;

  function recordDemand(organisation: string, tokens: number, nowMs: number): void {
    const known = claimsByOrganisation.get(organisation);
    const claims = known ?? Claims.createDemandClaims(propagationMs);
    if (known === undefined) claimsByOrganisation.set(organisation, claims);
    claims.recordDemand(tokens, nowMs);
  }

  function listChanged(nowMs: number): readonly DemandEntry[] {
    const changed: DemandEntry[] = [];
    const evenSplit = 1 / Math.max(1, options.getRouterCount());
    for (const [organisation, claims] of claimsByOrganisation) {
      const measured = claims.getDemand(nowMs);
      const floor = options.getLimit(organisation) * evenSplit * REPORTED_FROM;
      const demand = measured < Math.max(MIN_DEMAND, floor) ? 0 : measured;
      if (claims.isWorthReporting(demand, nowMs)) changed.push({ organisation, demand });
      else if (claims.isForgotten(nowMs)) claimsByOrganisation.delete(organisation);
    }
    return changed;
  }

  function buildReport(nowMs: number): DemandReport {
    sequence += 1;
    const changed = [...listChanged(nowMs)];
    // By change and not by demand: a demand that ended would otherwise never be told by a busy router,
    // and its part of the limit would lie idle here for good.
    changed.sort((left, right) => computeChange(right) - computeChange(left));
    const entries = changed.slice(0, maxEntries);
    for (const { organisation, demand } of entries) {
      claimsByOrganisation.get(organisation)?.recordReport(demand, nowMs);
    }
    const { routerName: router, incarnation } = options;
    return { router, incarnation, sequence, entries };
  }

  /** A report that comes after a newer one is dropped: what it told is repeated when refreshed. */
  function applyReport(report: DemandReport): void {
    const { router, incarnation, sequence: number } = report;
    if (router === options.routerName) return;
    const last = lastReports.get(router);
    if (last !== undefined && incarnation < last.incarnation) return;
    if (last?.incarnation === incarnation && number <= last.sequence) return;
    if (last !== undefined && incarnation > last.incarnation) removeRouter(router);
    lastReports.set(router, { incarnation, sequence: number });
    for (const { organisation, demand } of report.entries) {
      peers.setDemand(router, organisation, demand);
    }
  }

  function removeRouter(router: string): void {
    peers.removeRouter(router);
  }

  function getReported(organisation: string): number {
    return claimsByOrganisation.get(organisation)?.getReported() ?? 0;
  }

  function computeChange(entry: DemandEntry): number {
    return Math.abs(entry.demand - getReported(entry.organisation));
  }

  function splitDemand(
    organisation: string,
    routers: ReadonlySet<string>,
  ): PartitionShares.SplitDemand {
    let unreachable = 0;
    for (const router of routers) unreachable += peers.getDemand(router, organisation);
    const heard = Math.max(0, peers.getTotal(organisation) - unreachable);
    const reachable = getReported(organisation) + heard;
    return { organisation, reachable, unreachable };
  }

  function setUnreachable(routers: ReadonlySet<string>, nowMs: number): void {
    const earlier = parts.getUnreachable(nowMs);
    const newlyLost = new Set([...routers].filter((router) => !earlier.has(router)));
    const organisations = new Set([...claimsByOrganisation.keys(), ...peers.listOrganisations()]);
    const demands = [...organisations].map((name) => splitDemand(name, newlyLost));
    parts.setUnreachable(routers, options.getRouterCount(), demands, nowMs);
  }

  function getShare(organisation: string, nowMs: number): number {
    const count = Math.max(1, options.getRouterCount());
    if (count === 1) return 1;
    const part = parts.getShare(organisation, nowMs);
    const lost = parts.getUnreachable(nowMs);
    const { reachable } = splitDemand(organisation, lost);
    const floor = FLOOR / count;
    const isQuiet = reachable < options.getLimit(organisation) * part * QUIET;
    if (isQuiet) return Math.max(QUIET_SHARE, 1 / Math.max(1, count - lost.size)) * part;
    const claimed = claimsByOrganisation.get(organisation)?.getClaim(nowMs) ?? 0;
    const heard = reachable - getReported(organisation);
    if (claimed + heard < MIN_DEMAND) return floor;
    return floor + (1 - FLOOR) * part * (claimed / (claimed + heard));
  }

  return { recordDemand, buildReport, applyReport, removeRouter, setUnreachable, getShare };
}
