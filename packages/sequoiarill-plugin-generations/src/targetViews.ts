/** Joins what this router saw of its engines with what its peers say, as the decisions want it. */
import * as Decisions from '@sequoiarill/decisions';
import type {
  OutlierDetector,
  StallPolicy,
  TargetChoiceState,
  TargetView,
} from '@sequoiarill/decisions';
import type { EngineTarget, Membership } from '@sequoiarill/types';

import * as RecentCounts from './recentCounts';

/** Engines are compared with their peers of the same model only. */
export interface ModelStatistics {
  readonly stalls: StallPolicy;
  readonly outliers: OutlierDetector;
}

export interface TargetViewsOptions {
  readonly routerName: string;
  readonly getInFlight: (target: string) => number;
  readonly membership: Pick<Membership, 'getTargetHealth' | 'reportTarget'>;
}

export interface TargetViews {
  readonly getStatistics: (model: string) => ModelStatistics;
  readonly createView: (target: EngineTarget, model: string, nowMs: number) => TargetView;
  readonly recordSent: (target: string, nowMs: number) => void;
  readonly recordEnd: (target: string, nowMs: number) => void;
  readonly recordFailure: (target: string, nowMs: number) => void;
  /** The target answers again: it and the peers' word of it are as new. */
  readonly recordSuccess: (target: string) => void;
  readonly listEjected: (nowMs: number) => Readonly<Record<string, readonly string[]>>;
  readonly listFailed: (nowMs: number) => readonly string[];
}

/**
 * An engine that failed is passed over for so long and then tried again by whatever comes: a dead
 * VM's replacement takes seconds at the least, and one stray request finds it.
 */
const FAILURE_COOLDOWN_MS = 2_000;

export function createTargetViews(options: TargetViewsOptions): TargetViews {
  const { membership } = options;
  const statisticsByModel = new Map<string, ModelStatistics>();
  const failedAtMs = new Map<string, number>();
  const sent = RecentCounts.createRecentCounts();
  const ended = RecentCounts.createRecentCounts();

  function getStatistics(model: string): ModelStatistics {
    const existing = statisticsByModel.get(model);
    if (existing !== undefined) return existing;
    const statistics = {
      stalls: Decisions.createStallPolicy(),
      outliers: Decisions.createOutlierDetector(),
    };
    statisticsByModel.set(model, statistics);
    return statistics;
  }

  function isCoolingDown(target: string, nowMs: number): boolean {
    const failedAt = failedAtMs.get(target);
    return failedAt !== undefined && nowMs - failedAt < FAILURE_COOLDOWN_MS;
  }

  function getState(
    target: EngineTarget,
    outliers: OutlierDetector,
    nowMs: number,
  ): TargetChoiceState {
    if (target.vmState === 'leaving') return 'leaving';
    if (isCoolingDown(target.name, nowMs)) return 'dead';
    const ownState = outliers.getState(target.name, nowMs);
    if (ownState !== 'healthy') return ownState;
    const health = membership.getTargetHealth(target.name);
    // Our own word that it is dead has had its time: whoever said so first also tries it first, or
    // an engine that is back would stay unused until every router's word of it has aged.
    const isOwnReport = health?.state === 'dead' && health.observer === options.routerName;
    return health === undefined || isOwnReport ? 'healthy' : health.state;
  }

  function createView(target: EngineTarget, model: string, nowMs: number): TargetView {
    const { outliers } = getStatistics(model);
    const health = membership.getTargetHealth(target.name);
    const view = {
      name: target.name,
      zone: target.zone,
      slots: target.slots,
      inFlight: options.getInFlight(target.name),
      state: getState(target, outliers, nowMs),
      warmShare: outliers.getWarmShare(target.name, nowMs),
    };
    if (health?.running === undefined) return { ...view, sentSinceReport: 0 };
    const reportedAtMs = nowMs - health.ageMs;
    return {
      ...view,
      reportedRunning: health.running,
      reportedWaiting: health.waiting ?? 0,
      reportAgeMs: health.ageMs,
      sentSinceReport: sent.countSince(target.name, reportedAtMs),
      endedSinceReport: ended.countSince(target.name, reportedAtMs),
    };
  }

  return {
    getStatistics,
    createView,
    recordSent: sent.addAttempt,
    recordEnd: ended.addAttempt,
    recordFailure(target, nowMs) {
      failedAtMs.set(target, nowMs);
      membership.reportTarget({ target, state: 'dead' });
    },
    recordSuccess(target) {
      if (!failedAtMs.delete(target)) return;
      membership.reportTarget({ target, state: 'healthy' });
    },
    listEjected: (nowMs) =>
      Object.fromEntries(
        [...statisticsByModel].map(([model, { outliers }]) => [model, outliers.listEjected(nowMs)]),
      ),
    listFailed: (nowMs) => [...failedAtMs.keys()].filter((name) => isCoolingDown(name, nowMs)),
  };
}
