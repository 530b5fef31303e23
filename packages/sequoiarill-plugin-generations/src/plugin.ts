/** The generations plug-in: joins the pure parts with engines, clock and configuration. */
import type {
  GenerationOutcome,
  GenerationRequest,
  Plugin,
  PluginContext,
  PluginInstance,
  TokenBatch,
} from '@sequoiarill/types';

import * as Attempts from './attempt';
import * as EnginePools from './enginePools';
import * as EngineRequests from './engineRequests';
import * as Events from './events';
import * as Generations from './generation';
import type { AttemptOrder, GenerationParts, TargetQuery } from './generation';
import * as Settings from './settings';
import type { GenerationsSettings } from './settings';
import * as Targets from './targets';

const CANCEL_TIMEOUT_MS = 2_000;

export const generationsPlugin: Plugin<GenerationsSettings> = {
  name: 'generations',
  settingsSchema: Settings.settingsSchema,
  provides: ['generations'],
  needs: ['configuration'],
  events: Object.values(Events),
  createInstance,
};

function createInstance(context: PluginContext, settings: GenerationsSettings): PluginInstance {
  const { clock, metrics, journal } = context;
  const configuration = context.getCapability('configuration');
  const pools = EnginePools.createEnginePools({
    connectTimeoutMs: settings.connectTimeoutMs,
    maxConnections: settings.maxConnectionsPerEngine,
  });
  const targets = Targets.createTargets({
    zone: context.process.zone,
    getConfiguration: configuration.getConfiguration,
    getInFlight: pools.getInFlight,
    nextRandom: context.nextRandom,
    getNowMs: clock.getNowMs,
  });
  let running = 0;

  function cancelAttempt(order: AttemptOrder): void {
    const { dispatcher, origin } = pools.getPool(order.target);
    dispatcher
      .request({
        origin,
        path: EngineRequests.createCancelPath(order.request.requestId),
        method: 'POST',
        headers: { 'x-fencing-number': String(order.generation) },
        signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
      })
      .then((response) => response.body.dump())
      .catch(() => undefined);
  }

  async function* runAttempt(order: AttemptOrder): ReturnType<GenerationParts['runAttempt']> {
    const { target, request } = order;
    const { path, body } = EngineRequests.createEngineRequest(order);
    const limits = targets.getLimits(target.name, request.organisation.preference, order);
    pools.addInFlight(target.name, 1);
    try {
      return yield* Attempts.runAttempt({
        target,
        pool: pools.getPool(target),
        path,
        body,
        requestId: request.requestId,
        fencingNumber: order.generation,
        limits,
        signal: request.signal,
        getNowMs: clock.getNowMs,
        onGap: (gapMs, isFirst) => targets.recordGap(target.name, gapMs, isFirst),
      });
    } finally {
      pools.addInFlight(target.name, -1);
    }
  }

  const parts: GenerationParts = {
    chooseTarget: targets.chooseTarget,
    runAttempt,
    cancelAttempt,
    waitForRetry: async (query: TargetQuery) => targets.takeRetry(query.purpose),
    journal,
    getNowMs: clock.getNowMs,
    onLost(order, loss) {
      targets.recordFailure(order.target.name);
      if (loss.cause === 'stalled' || loss.cause === 'noFirstToken') cancelAttempt(order);
      const recomputed = order.tokenIds?.length ?? 0;
      metrics.addCount('generations.lost', 1, { cause: loss.cause });
      metrics.addCount('generations.tokensRecomputed', recomputed);
      context.logEvent(Events.GENERATION_LOST, {
        requestId: order.request.requestId,
        target: order.target.name,
        generation: order.generation,
        cause: loss.cause,
        reason: loss.message,
      });
    },
    onBusy(order) {
      targets.recordBusy(order.target.name);
      context.logEvent(Events.ENGINE_BUSY, {
        requestId: order.request.requestId,
        target: order.target.name,
      });
    },
    onResumed(order, resumeMs) {
      const { requestId } = order.request;
      metrics.recordTiming('generations.resume', resumeMs);
      journal.recordDecision(requestId, 'continued', 'the next token came from another engine', {
        target: order.target.name,
        resumeMs: Math.round(resumeMs),
      });
    },
  };

  async function* runGeneration(
    request: GenerationRequest,
  ): AsyncGenerator<TokenBatch, GenerationOutcome, void> {
    const model = configuration.getConfiguration().models.get(request.model);
    if (model === undefined) {
      const message = `model "${request.model}" is not configured`;
      return { kind: 'rejected', message, parameter: 'model' };
    }
    running += 1;
    targets.recordRequest();
    metrics.addCount('generations.started');
    try {
      const outcome = yield* Generations.runGeneration(request, model, parts);
      recordOutcome(request, outcome);
      return outcome;
    } finally {
      running -= 1;
    }
  }

  function recordOutcome(request: GenerationRequest, outcome: GenerationOutcome): void {
    metrics.addCount('generations.finished', 1, { outcome: outcome.kind });
    journal.recordDecision(request.requestId, 'finished', outcome.kind, { ...outcome });
    if (outcome.kind !== 'lost') return;
    const { requestId } = request;
    context.logEvent(Events.GENERATION_GIVEN_UP, { requestId, reason: outcome.message });
  }

  function removeMissingTargets(): void {
    pools.removeMissing(new Set(configuration.getConfiguration().targets.keys()));
  }

  const unsubscribe = configuration.subscribeConfiguration(removeMissingTargets);
  return {
    capabilities: { generations: { runGeneration } },
    async stop() {
      unsubscribe();
      await pools.close();
    },
    dumpState: () => ({ running, targets: targets.dumpTargets() }),
  };
}
