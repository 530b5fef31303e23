/** Combines this router's observations of engines with its peers' reports into target views. */
import * as Decisions from '@sequoiarill/decisions';
import type {
  OutlierDetector,
  StallPolicy,
  TargetChoiceState,
  TargetView,
} from '@sequoiarill/decisions';
import type { EngineTarget, Membership } from '@sequoiarill/types';

import * as RecentCounts from './recentCounts';

/** Kept for each model, because engines are compared only with others of the same model. */
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
  /** Clears the failure of a target that responds again and reports it as healthy to the peers. */
  readonly recordSuccess: (target: string) => void;
  readonly listEjected: (nowMs: number) => Readonly<Record<string, readonly string[]>>;
  readonly listFailed: (nowMs: number) => readonly string[];
}

/**
 * A failed engine is not used for this time, after which the next request may try it again. Replacing
 * a failed VM takes at least seconds, and a single request suffices to find that it is back.
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
    const lastFailedAtMs = failedAtMs.get(target);
    return lastFailedAtMs !== undefined && nowMs - lastFailedAtMs < FAILURE_COOLDOWN_MS;
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
    // This router's own `dead` report no longer counts after the cooldown: the router that reported
    // first also retries first. Otherwise a recovered engine would stay unused until the reports of
    // all routers had expired.
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
