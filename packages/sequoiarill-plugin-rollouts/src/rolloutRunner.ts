/** Reports this router's counts of each roll-out, and evaluates the roll-outs for which it ranks first. */
import * as Decisions from '@sequoiarill/decisions';
import * as Kernel from '@sequoiarill/kernel';
import type {
  Clock,
  Directory,
  LogEvent,
  RolloutGuidance,
  RolloutReport,
  RouterPeers,
} from '@sequoiarill/types';

import * as Events from './events';
import * as LocalRolloutStates from './localRolloutState';
import type { LocalRolloutState } from './localRolloutState';
import type { createRolloutEvaluator } from './rolloutEvaluator';
import * as RolloutViews from './rolloutViews';
import type { RolloutView } from './rolloutViews';

export interface RolloutRunnerOptions {
  readonly views: Pick<RolloutViews.RolloutViews, 'get' | 'list'>;
  readonly evaluator: ReturnType<typeof createRolloutEvaluator>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters' | 'sendReport'>;
  readonly directory: Pick<Directory, 'recordEntry' | 'listEntries' | 'subscribe'>;
  readonly recordPrefix: string;
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly getLocalState: (view: RolloutView) => LocalRolloutState | undefined;
  /** In-flight requests of this router at targets that get no new ones. */
  readonly countLeaving: (view: RolloutView) => number;
  readonly getReportIntervalMs: () => number;
}

/** Longest wait while there is no order; a new order ends it. */
const IDLE_WAIT_MS = 3_600_000;
/** Time for which a router that did not accept a report is not chosen as the evaluator. */
const EVALUATOR_EXCLUSION_MS = 3_000;
/** Pause between two evaluations on one router, and before a failed report goes to another router. */
const EVALUATION_INTERVAL_MS = 200;
const { isSameChange } = Kernel.Revisions;
const NO_GUIDANCE: RolloutGuidance = { isHalted: false, avoided: [] };

export function createRolloutRunner(options: RolloutRunnerOptions) {
  const { views, evaluator, peers, directory, clock, logEvent } = options;
  const excludedUntilMs = new Map<string, number>();

  function chooseEvaluator(service: string): string {
    const nowMs = clock.getNowMs();
    const routers = new Set([...peers.listRouters().map(({ address }) => address), peers.self]);
    const candidates = [...routers].filter(
      (router) => router === peers.self || (excludedUntilMs.get(router) ?? nowMs) <= nowMs,
    );
    return Decisions.sortByRank(candidates, service)[0] ?? peers.self;
  }

  function buildReport(view: RolloutView, localState: LocalRolloutState): RolloutReport {
    return {
      service: view.service,
      orderRevision: localState.orderRevision,
      router: peers.self,
      elapsedMs: LocalRolloutStates.computeElapsed(localState, clock.getNowMs()),
      leaving: options.countLeaving(view),
      tallies: localState.tallies.list(),
    };
  }

  function addReport(localState: LocalRolloutState, report: RolloutReport): void {
    localState.reports.addReport(report);
    LocalRolloutStates.recordElapsed(localState, report.elapsedMs, clock.getNowMs());
  }

  function applyGuidance(
    { service, split }: RolloutView,
    localState: LocalRolloutState,
    { isHalted, avoided, state }: RolloutGuidance,
  ): void {
    if (isHalted && !localState.isHalted) {
      localState.isHalted = true;
      const reason = 'reported by the router that evaluates the roll-out';
      logEvent(Events.HALTED, { service, toVersion: split.toVersion, reason });
    }
    localState.avoided = new Set([...localState.avoided, ...avoided]);
    if (state !== undefined) {
      directory.recordEntry({ key: `${options.recordPrefix}${service}`, ...state });
    }
  }

  /** Returns the time until the next round, milliseconds. */
  async function runRound(view: RolloutView): Promise<number> {
    const localState = options.getLocalState(view);
    const pauseMs = options.getReportIntervalMs();
    if (localState === undefined) return pauseMs;
    const evaluatorAddress = chooseEvaluator(view.service);
    const report = buildReport(view, localState);
    if (evaluatorAddress === peers.self) {
      addReport(localState, report);
      await evaluator.runStep(view, localState);
      return Math.min(pauseMs, EVALUATION_INTERVAL_MS);
    }
    const outcome = await peers.sendReport(evaluatorAddress, report);
    if (outcome.kind === 'guided') {
      applyGuidance(view, localState, outcome.guidance);
      return pauseMs;
    }
    excludedUntilMs.set(evaluatorAddress, clock.getNowMs() + EVALUATOR_EXCLUSION_MS);
    const { reason } = outcome;
    logEvent(Events.REPORT_FAILED, { service: view.service, judge: evaluatorAddress, reason });
    return EVALUATION_INTERVAL_MS;
  }

  function listActiveRollouts(): readonly RolloutView[] {
    return views
      .list()
      .filter(({ order, split }) => order !== undefined && !RolloutViews.isFinalPhase(split.phase));
  }

  async function waitForOrder(signal: AbortSignal): Promise<void> {
    const wait = new AbortController();
    const endWait = () => wait.abort();
    signal.addEventListener('abort', endWait, { once: true });
    const unsubscribe = directory.subscribe(() => {
      if (listActiveRollouts().length > 0) wait.abort();
    });
    await clock.waitMs(IDLE_WAIT_MS, wait.signal);
    unsubscribe();
    signal.removeEventListener('abort', endWait);
  }

  return {
    /** Returns the guidance for the reporting router; it is empty if its order is not known here. */
    handleReport(report: RolloutReport): RolloutGuidance {
      const view = views.get(report.service);
      const local = view === undefined ? undefined : options.getLocalState(view);
      if (local === undefined || !isSameChange(local.orderRevision, report.orderRevision)) {
        return NO_GUIDANCE;
      }
      addReport(local, report);
      const key = `${options.recordPrefix}${report.service}`;
      const state = directory.listEntries(key).find((entry) => entry.key === key);
      return LocalRolloutStates.buildGuidance(local, state);
    },
    async run(signal: AbortSignal): Promise<void> {
      while (!signal.aborted) {
        const active = listActiveRollouts();
        if (active.length === 0) await waitForOrder(signal);
        else {
          const pauses = await Promise.all(active.map(runRound));
          await clock.waitMs(Math.min(...pauses), signal);
        }
      }
    },
  };
}
