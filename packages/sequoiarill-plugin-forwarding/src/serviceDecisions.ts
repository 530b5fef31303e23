/** The state of decisions that each service has separately. */
import * as Decisions from '@sequoiarill/decisions';
import type { FleetRetryBudget, StallPolicy } from '@sequoiarill/decisions';
import type { PluginContext } from '@sequoiarill/types';

import type { ExchangeDependencies } from './front/replies';
import * as LazyGetters from './lazyGetter';
import * as Metrics from './metrics';
import * as RepeatEvents from './repeatEvents';
import * as RetryHandovers from './retryHandover';
import type { ForwardingSettings } from './settings';

const MS_PER_SECOND = 1_000;
const LOGS_PER_WINDOW = 10;

export interface ServiceDecisions extends Pick<
  ExchangeDependencies,
  'getBudget' | 'getAdmission' | 'getPromptEstimates' | 'getRunEstimates' | 'getStallPolicy'
> {
  /** Retry budget of each service. */
  readonly dumpRepeats: () => readonly Readonly<Record<string, unknown>>[];
}

/** Creates the decision state that each service has separately. */
export function createServiceDecisions(
  { clock, nextRandom, metrics, process, logEvent, getCapability }: PluginContext,
  settings: ForwardingSettings,
): ServiceDecisions {
  const startedMs = clock.getNowMs();
  const budgets = new Map<string, FleetRetryBudget>();
  const room = getCapability('room');
  const peers = getCapability('peers');
  const windowMs = settings.repeatWindowSeconds * MS_PER_SECOND;
  const sharers = Decisions.createRetrySharers({
    getNowMs: clock.getNowMs,
    listRouters: () => peers.listRouters().map(({ name, address }) => name ?? address),
    self: process.name,
    isUpToDate: getCapability('directory').isUpToDate,
    windowMs,
  });
  const handover = RetryHandovers.createRetryHandover(peers.getStopRecord, clock, windowMs);
  peers.setStopRecord(() => RetryHandovers.encodeBudgets(budgets, clock, windowMs, startedMs));

  /** Logs what the budget has counted, some times a window. */
  function createCountLog(service: string): () => void {
    let loggedMs = Number.NEGATIVE_INFINITY;
    return () => {
      const nowMs = clock.getNowMs();
      const budget = budgets.get(service);
      if (budget === undefined || nowMs < loggedMs + windowMs / LOGS_PER_WINDOW) return;
      loggedMs = nowMs;
      logEvent(RepeatEvents.REPEATS_COUNTED, { service, ...budget.describe(nowMs) });
    };
  }

  function createBudget(service: string): FleetRetryBudget {
    const logCount = createCountLog(service);
    return Decisions.createFleetRetryBudget({
      ratio: settings.repeatRatio,
      slack: settings.repeatSlack,
      windowMs,
      countRouters: sharers.count,
      isShareReserved: sharers.isReserved,
      hasPredecessor: peers.hasPredecessor,
      getPredecessor: () => handover.getPredecessor(service),
      startedMs,
      getFleetTotals: () => room.getFleetRepeats(service),
      reportChange(change) {
        metrics.addCount(Metrics.REPEATS, 1, { service, change });
        logCount();
      },
    });
  }

  const getBudget = LazyGetters.createLazyGetter(createBudget, budgets);
  room.setRepeatSource((service) => getBudget(service).getTotals(clock.getNowMs()));
  return {
    getBudget,
    dumpRepeats: () =>
      [...budgets].map(([service, budget]) => ({
        service,
        ...budget.describe(clock.getNowMs()),
      })),
    getAdmission: LazyGetters.createLazyGetter(() =>
      Decisions.createLatencyAdmission({ nextRandom }),
    ),
    getPromptEstimates: LazyGetters.createLazyGetter(Decisions.createPromptEstimates),
    getRunEstimates: LazyGetters.createLazyGetter(Decisions.createRunEstimates),
    getStallPolicy: LazyGetters.createLazyGetter<StallPolicy>(Decisions.createStallPolicy),
  };
}
