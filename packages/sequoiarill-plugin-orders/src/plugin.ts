/** The plug-in `orders`: connects the choice of targets, the attempts and the claims. */
import type {
  OrderOutcome,
  OrderRequest,
  Plugin,
  PluginContext,
  PluginInstance,
  ServiceTarget,
} from '@sequoiarill/types';

import * as Attempts from './attempts';
import * as ClaimLeases from './claimLeases';
import * as Claims from './claims';
import * as ClaimWriters from './claimWriter';
import * as Events from './events';
import * as Metrics from './metrics';
import * as OrderRunners from './orderRunner';
import * as OrderSenders from './orderSender';
import type { AttemptResult } from './orderSender';
import * as RetryBudgets from './retryBudget';
import { settingsSchema } from './settings';
import type { OrdersSettings } from './settings';
import * as TargetChoice from './targetChoice';
import * as TransactionBatches from './transactionBatches';

const MS_PER_SECOND = 1_000;

type ClaimComponents = Readonly<{
  claims: Claims.ClaimRegistry;
  writer: ClaimWriters.ClaimWriter;
  batcher: TransactionBatches.TransactionBatcher;
}>;

function createClaims(context: PluginContext, settings: OrdersSettings): ClaimComponents {
  const { clock, logEvent, metrics } = context;
  const store = context.getCapability('keyValue');
  const { claimSeconds } = settings;
  const batcher = TransactionBatches.createTransactionBatcher({
    store,
    clock,
    batchWindowMs: settings.claimWindowMs,
    nonUrgentDelayMs: settings.resultDelayMs,
    minCallIntervalMs: MS_PER_SECOND / settings.maxClaimCallsPerSecond,
    recordCall: () => metrics.addCount(Metrics.CLAIM_CALLS),
  });
  const leases = ClaimLeases.createLeaseCache(store, clock);
  const writer = ClaimWriters.createClaimWriter({
    batcher,
    leases,
    clock,
    claimSeconds,
    recordDroppedResult: ({ requestId }, reason) =>
      logEvent(Events.RESULT_DROPPED, { requestId, reason }),
  });
  const claims = Claims.createClaimRegistry({
    batcher,
    leases,
    writer,
    clock,
    router: context.process.name,
    prefix: settings.claimPrefix,
    claimSeconds,
  });
  return { claims, writer, batcher };
}

function createInstance(context: PluginContext, settings: OrdersSettings): PluginInstance {
  const { clock, journal, logEvent, metrics } = context;
  const configuration = context.getCapability('configuration');
  const { claims, writer, batcher } = createClaims(context, settings);
  const sender = OrderSenders.createOrderSender(settings);
  const budget = RetryBudgets.createRetryBudget(settings.retryRatio, () =>
    metrics.addCount(Metrics.RETRIES),
  );
  const chooser = TargetChoice.createTargetChooser({
    maxInFlight: settings.maxInFlightPerTarget,
    passOverMs: settings.passOverMs,
  });
  const openOrders = new Set<Promise<unknown>>();
  let isDraining = false;

  function recordAttempt(order: OrderRequest, target: ServiceTarget, result: AttemptResult): void {
    const { requestId } = order;
    const reason = `${result.kind} at ${target.name}`;
    journal.recordDecision(requestId, 'dispatched', reason, { target: target.name });
    if (result.kind !== 'notSent' || !result.isTargetFault) return;
    logEvent(Events.TARGET_PASSED_OVER, {
      requestId,
      target: target.name,
      reason: result.message,
    });
  }

  const runAcceptedOrder = OrderRunners.createOrderRunner({
    clock,
    journal,
    configuration,
    claims,
    runAttempts: Attempts.createAttemptRunner({
      clock,
      chooser,
      budget,
      sendOrder: sender.sendOrder,
      listTargets: (service) =>
        TargetChoice.listServiceTargets(configuration.getConfiguration(), service),
      recordAttempt,
    }),
  });

  function recordOutcome(order: OrderRequest, outcome: OrderOutcome, startedMs: number): void {
    const { requestId, service } = order;
    metrics.addCount(Metrics.OUTCOMES, 1, { outcome: outcome.kind, service });
    metrics.recordTiming(Metrics.DURATION, clock.getNowMs() - startedMs);
    if (outcome.kind === 'unknown') {
      logEvent(Events.OUTCOME_UNKNOWN, { requestId, service, reason: outcome.message });
    }
    if (outcome.kind === 'notRun' && outcome.reason === 'platformAway') {
      logEvent(Events.CLAIMS_AWAY, { requestId, service });
    }
  }

  async function runOrder(order: OrderRequest): Promise<OrderOutcome> {
    if (isDraining) return OrderRunners.createNotRun('draining', 'this router is stopping.', 1);
    const startedMs = clock.getNowMs();
    const outcomePromise = runAcceptedOrder(order);
    openOrders.add(outcomePromise);
    const outcome = await outcomePromise.finally(() => openOrders.delete(outcomePromise));
    recordOutcome(order, outcome, startedMs);
    return outcome;
  }

  const unsubscribe = configuration.subscribeConfiguration(({ targets }) => {
    sender.removePools(new Set([...targets.values()].map(({ address }) => address)));
  });
  return {
    capabilities: { orders: { runOrder } },
    async drain() {
      isDraining = true;
      while (openOrders.size > 0) await Promise.allSettled([...openOrders]);
      await writer.drain();
    },
    async stop() {
      unsubscribe();
      writer.close();
      await sender.close();
    },
    dumpState: () => ({
      openOrders: openOrders.size,
      isDraining,
      retriesRemaining: budget.getRemainingRetries(),
      targetsPassedOver: chooser.listBackedOffTargets(clock.getNowMs()),
      claimsQueued: batcher.getQueueLength(),
      resultsPending: writer.getPendingResultCount(),
    }),
  };
}

export const plugin: Plugin<OrdersSettings> = {
  name: 'orders',
  settingsSchema,
  provides: ['orders'],
  needs: ['configuration', 'keyValue'],
  events: Events.EVENTS,
  createInstance,
};
