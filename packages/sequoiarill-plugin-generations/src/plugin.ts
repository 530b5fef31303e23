/** The generations plug-in: connects the decisions with engines, clock and configuration. */
import * as Decisions from '@sequoiarill/decisions';
import type { AdmissionRequest, Permit } from '@sequoiarill/decisions';
import type {
  GenerationOutcome,
  GenerationRequest,
  Model,
  Plugin,
  PluginContext,
  PluginInstance,
  TokenBatch,
  Usage,
} from '@sequoiarill/types';

import * as AdmissionControllers from './admissionController';
import * as CapacityTasks from './capacityTask';
import * as EngineCalls from './engineCalls';
import * as EnginePools from './enginePools';
import * as Events from './events';
import * as Generations from './generation';
import type { GenerationDependencies } from './generation';
import * as LoadPollers from './loadPoller';
import * as Observers from './observer';
import * as Prompts from './prompts';
import * as ServingTargets from './servingTargets';
import * as Settings from './settings';
import type { GenerationsSettings } from './settings';
import * as Targets from './targets';

export const generationsPlugin: Plugin<GenerationsSettings> = {
  name: 'generations',
  settingsSchema: Settings.settingsSchema,
  provides: ['generations'],
  needs: ['configuration', 'membership'],
  events: Object.values(Events),
  createInstance,
};

/** Budget for retries of requests without output: a fifth of the requests, plus a few a second. */
const RETRY_BUDGET = { ratio: 0.2, minPerSecond: 5, burst: 100 };

function createInstance(context: PluginContext, settings: GenerationsSettings): PluginInstance {
  const { clock, metrics, journal } = context;
  const { getNowMs } = clock;
  const configuration = context.getCapability('configuration');
  const pools = EnginePools.createEnginePools({
    connectTimeoutMs: settings.connectTimeoutMs,
    maxConnections: settings.maxConnectionsPerEngine,
  });
  const membership = context.getCapability('membership');
  const serving = ServingTargets.createServingTargets({
    routerName: context.process.name,
    zone: context.process.zone,
    setSize: settings.targetsPerModel,
    getConfiguration: configuration.getConfiguration,
  });
  const targets = Targets.createTargets({
    routerName: context.process.name,
    zone: context.process.zone,
    serving,
    getInFlight: pools.getInFlight,
    membership,
    nextRandom: context.nextRandom,
    getNowMs,
  });
  const admission = AdmissionControllers.createAdmissionController({
    maxWaitMs: settings.maxQueueMs,
    nextRandom: context.nextRandom,
    getNowMs,
    getSlotShare(name) {
      const model = configuration.getConfiguration().models.get(name);
      const routers = Math.max(1, membership.listPeers().length);
      return model === undefined ? 0 : targets.getCapacity(model).slots / routers;
    },
  });
  const retryBudget = Decisions.createRetryBudget(RETRY_BUDGET);
  const pacer = Decisions.createContinuationPacer();
  const engineCalls = EngineCalls.createEngineCalls({ pools, targets, clock });
  const observer = Observers.createObserver(context, targets, engineCalls.cancelAttempt);
  let running = 0;

  const dependencies: GenerationDependencies = {
    chooseTarget: targets.chooseTarget,
    ...engineCalls,
    // Continuations are paced instead; only requests without output consume the retry budget.
    takeRetry: (query) => query.purpose === 'continuation' || retryBudget.takeRetry(getNowMs()),
    async waitForStart(attempt) {
      const cost = attempt.tokenIds?.length ?? 0;
      const { startAtMs } = pacer.reserveStart(getNowMs(), attempt.target.name, cost);
      const delayMs = startAtMs - getNowMs();
      if (delayMs >= 1) await clock.waitMs(delayMs, attempt.request.signal);
    },
    journal,
    getNowMs,
    ...observer,
  };

  async function* runGeneration(
    request: GenerationRequest,
  ): AsyncGenerator<TokenBatch, GenerationOutcome, void> {
    const model = configuration.getConfiguration().models.get(request.model);
    if (model === undefined) {
      const message = `model "${request.model}" is not configured`;
      return { kind: 'rejected', message, parameter: 'model' };
    }
    const admitted = await admission.waitForPermit(createAdmissionRequest(request), request.signal);
    if (admitted.kind === 'cancelled') return { kind: 'cancelled', usage: NO_USAGE };
    if (admitted.kind === 'refused') return observer.recordRefusal(request, admitted);
    return yield* runAdmitted(request, model, admitted.permit);
  }

  async function* runAdmitted(
    request: GenerationRequest,
    model: Model,
    permit: Permit,
  ): AsyncGenerator<TokenBatch, GenerationOutcome, void> {
    const startedMs = getNowMs();
    let outputTokens = 0;
    let isComplete = false;
    running += 1;
    retryBudget.recordRequest(startedMs);
    observer.recordStart(request, permit);
    const generation = Generations.runGeneration(request, model, dependencies);
    try {
      for (;;) {
        const next = await generation.next();
        isComplete = next.done === true && next.value.kind === 'completed';
        if (next.done) return observer.recordOutcome(request, next.value);
        if (outputTokens === 0) recordFirstToken(permit, getNowMs() - startedMs);
        outputTokens += next.value.tokenCount;
        yield next.value;
      }
    } finally {
      await generation.return({ kind: 'cancelled', usage: NO_USAGE });
      running -= 1;
      admission.releasePermit(permit, { outputTokens, isComplete });
      metrics.addCount('generations.tokens', outputTokens);
    }
  }

  function recordFirstToken(permit: Permit, ms: number): void {
    admission.recordFirstToken(permit, ms);
    metrics.recordTiming('generations.firstToken', ms);
  }

  const tasksController = new AbortController();
  const poller = LoadPollers.createLoadPoller({
    routerName: context.process.name,
    pools,
    reportTarget: membership.reportTarget,
  });
  let backgroundTasks: readonly Promise<void>[] = [];

  const unsubscribe = configuration.subscribeConfiguration(({ targets: configuredTargets }) =>
    pools.removeMissing(new Set(configuredTargets.keys())),
  );
  return {
    capabilities: { generations: { runGeneration } },
    async start() {
      const { name: routerName, zone } = context.process;
      const shared = { clock, configuration, membership, serving, targets, admission, poller };
      const taskOptions = { routerName, zone, ...shared };
      backgroundTasks = [
        CapacityTasks.runCapacityTask(taskOptions, tasksController.signal),
        CapacityTasks.runPollTask(taskOptions, tasksController.signal),
      ];
    },
    async stop() {
      unsubscribe();
      tasksController.abort();
      await Promise.all(backgroundTasks);
      admission.close();
      await pools.close();
    },
    dumpState: () => ({ running, lanes: admission.dumpModelQueues(), ...targets.dumpTargets() }),
  };
}

const NO_USAGE: Usage = { promptTokens: 0, completionTokens: 0 };

function createAdmissionRequest(request: GenerationRequest): AdmissionRequest {
  return {
    organisation: request.organisation,
    model: request.model,
    promptTokens: Prompts.computePromptTokens(request.messages),
    maxOutputTokens: request.maxOutputTokens,
  };
}
