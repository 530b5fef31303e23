/** Reports what this router sees of each roll-out, and judges those for which it is the first in rank. */
import * as Decisions from '@sequoiarill/decisions';
import type {
  Clock,
  Directory,
  LogEvent,
  RolloutGuidance,
  RolloutReport,
  RouterPeers,
} from '@sequoiarill/types';

import * as Events from './events';
import type { createJudge } from './rolloutEvaluator';
import * as RolloutStates from './localRolloutState';
import type { RolloutMemory } from './localRolloutState';
import * as RolloutViews from './rolloutViews';
import type { RolloutView } from './rolloutViews';

export interface RolloutRunnerOptions {
  readonly views: Pick<RolloutViews.RolloutViews, 'get' | 'list'>;
  readonly judge: ReturnType<typeof createJudge>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters' | 'sendReport'>;
  readonly directory: Pick<Directory, 'recordEntry' | 'listEntries' | 'subscribe'>;
  readonly recordPrefix: string;
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly getMemory: (view: RolloutView) => RolloutMemory | undefined;
  /** Requests in progress here at targets that get no new work. */
  readonly countLeaving: (view: RolloutView) => number;
  readonly getIntervalMs: () => number;
}

/** Without an order there is nothing to do; the wait ends with the next one. Milliseconds. */
const IDLE_MS = 3_600_000;
/** A judge that did not answer is asked again after this, milliseconds. */
const UNFIT_MS = 3_000;
/** Pause between two looks of the router that judges at what others reported, milliseconds. */
const JUDGE_MS = 200;
const NO_GUIDANCE: RolloutGuidance = { isHalted: false, avoided: [] };

export function createRolloutRunner(options: RolloutRunnerOptions) {
  const { views, judge, peers, directory, clock, logEvent } = options;
  const unfitUntilMs = new Map<string, number>();

  function chooseJudge(service: string): string {
    const nowMs = clock.getNowMs();
    const known = new Set([...peers.listRouters().map(({ address }) => address), peers.self]);
    const fit = [...known].filter(
      (router) => router === peers.self || (unfitUntilMs.get(router) ?? nowMs) <= nowMs,
    );
    return Decisions.sortByRank(fit, service)[0] ?? peers.self;
  }

  function buildReport(view: RolloutView, memory: RolloutMemory): RolloutReport {
    return {
      service: view.service,
      orderRevision: memory.orderRevision,
      router: peers.self,
      elapsedMs: RolloutStates.computeElapsed(memory, clock.getNowMs()),
      leaving: options.countLeaving(view),
      tallies: memory.tallies.list(),
    };
  }

  function addReport(memory: RolloutMemory, report: RolloutReport): void {
    memory.reports.addReport(report);
    RolloutStates.recordElapsed(memory, report.elapsedMs, clock.getNowMs());
  }

  function applyGuidance(
    { service, split }: RolloutView,
    memory: RolloutMemory,
    { isHalted, avoided, state }: RolloutGuidance,
  ): void {
    if (isHalted && !memory.isHalted) {
      memory.isHalted = true;
      const reason = 'its judge says so';
      logEvent(Events.HALTED, { service, toVersion: split.toVersion, reason });
    }
    memory.avoided = new Set([...memory.avoided, ...avoided]);
    if (state !== undefined) {
      directory.recordEntry({ key: `${options.recordPrefix}${service}`, ...state });
    }
  }

  /** Gives the time until the next round, milliseconds. */
  async function runRound(view: RolloutView): Promise<number> {
    const memory = options.getMemory(view);
    const pauseMs = options.getIntervalMs();
    if (memory === undefined) return pauseMs;
    const chosen = chooseJudge(view.service);
    const report = buildReport(view, memory);
    if (chosen === peers.self) {
      addReport(memory, report);
      await judge.runStep(view, memory);
      return Math.min(pauseMs, JUDGE_MS);
    }
    const outcome = await peers.sendReport(chosen, report);
    if (outcome.kind === 'guided') {
      applyGuidance(view, memory, outcome.guidance);
      return pauseMs;
    }
    unfitUntilMs.set(chosen, clock.getNowMs() + UNFIT_MS);
    const { reason } = outcome;
    logEvent(Events.REPORT_FAILED, { service: view.service, judge: chosen, reason });
    return JUDGE_MS;
  }

  function listActive(): readonly RolloutView[] {
    return views
      .list()
      .filter(({ order, split }) => order !== undefined && !RolloutViews.isEnded(split.phase));
  }

  async function waitForOrder(signal: AbortSignal): Promise<void> {
    const news = new AbortController();
    const stop = () => news.abort();
    signal.addEventListener('abort', stop, { once: true });
    const unsubscribe = directory.subscribe(() => {
      if (listActive().length > 0) news.abort();
    });
    await clock.waitMs(IDLE_MS, news.signal);
    unsubscribe();
    signal.removeEventListener('abort', stop);
  }

  return {
    /** What a router that reports is told; nothing where its order is not known here. */
    handleReport(report: RolloutReport): RolloutGuidance {
      const view = views.get(report.service);
      const memory = view === undefined ? undefined : options.getMemory(view);
      if (memory === undefined || memory.orderRevision !== report.orderRevision) return NO_GUIDANCE;
      addReport(memory, report);
      const key = `${options.recordPrefix}${report.service}`;
      const state = directory.listEntries(key).find((entry) => entry.key === key);
      return RolloutStates.buildGuidance(memory, state);
    },
    async run(signal: AbortSignal): Promise<void> {
      while (!signal.aborted) {
        const active = listActive();
        if (active.length === 0) await waitForOrder(signal);
        else {
          const pauses = await Promise.all(active.map(runRound));
          await clock.waitMs(Math.min(...pauses), signal);
        }
      }
    },
  };
}
