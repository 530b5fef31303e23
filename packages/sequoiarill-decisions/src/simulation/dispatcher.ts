/** Sends requests to engines, handles how they end, and retries or continues the ones that failed. */
import type { EngineModel } from './engineModel';
import type { InFlightRequest } from './inFlightRequest';
import type { RouterPolicy } from './policies';
import type { RouterViews } from './routerViews';
import type { SimulationMetrics } from './simulationMetrics';
import type { Timeline } from './timeline';

/** Time until the router detects a broken stream. */
const BREAK_DETECTION_DELAY_MS = 300;
const MAX_ATTEMPTS = 4;
const NO_TARGET_RETRY_DELAY_MS = 500;

export interface DispatcherOptions {
  readonly zone: string;
  readonly engines: readonly EngineModel[];
  readonly timeline: Timeline;
  readonly policy: RouterPolicy;
  readonly metrics: SimulationMetrics;
  readonly views: RouterViews;
  /** Called once when a request ends, whatever the result. */
  readonly onRequestEnd: (inFlight: InFlightRequest, outputTokens: number) => void;
}

export interface Dispatcher {
  readonly startRequest: (inFlight: InFlightRequest) => void;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { engines, timeline, policy, metrics, views } = options;

  function chooseTarget(inFlight: InFlightRequest): EngineModel | undefined {
    const { request, excludedEngines: excluded } = inFlight;
    const name = policy.chooseTarget({
      candidates: views.listViews(),
      zone: options.zone,
      prefixKeys: [`${request.prefixKey}+${request.arrivedMs}`, request.prefixKey],
      nowMs: timeline.getNowMs(),
      excluded,
      purpose: inFlight.countEmittedTokens() > 0 ? 'continuation' : 'first',
      promptTokens: request.promptTokens + inFlight.countEmittedTokens(),
    });
    return engines.find((engine) => engine.settings.name === name);
  }

  function startRequest(inFlight: InFlightRequest): void {
    if (inFlight.hasEnded()) return;
    const engine = chooseTarget(inFlight);
    if (engine === undefined) {
      inFlight.excludedEngines.clear();
      timeline.addEvent(timeline.getNowMs() + NO_TARGET_RETRY_DELAY_MS, () =>
        startRequest(inFlight),
      );
      return;
    }
    sendRequest(inFlight, engine);
  }

  function sendRequest(inFlight: InFlightRequest, engine: EngineModel): void {
    const { request } = inFlight;
    const sentAtMs = timeline.getNowMs();
    views.addRequest(inFlight, engine.settings.name);
    const cancel = engine.startStream({
      promptTokens: request.promptTokens + inFlight.countEmittedTokens(),
      sharedTokens: request.sharedTokens,
      prefixKey: request.prefixKey,
      isContinuation: inFlight.countEmittedTokens() > 0,
      outputTokens: Math.max(1, request.outputTokens - inFlight.countEmittedTokens()),
      onFirstToken: () => handleFirstToken(inFlight, engine, sentAtMs),
      onEnd: (meanGapMs) => handleEnd(inFlight, engine, meanGapMs),
      onLost: (generatedTokens) => handleLost(inFlight, engine, generatedTokens),
    });
    inFlight.recordAttempt(cancel);
  }

  function handleFirstToken(
    inFlight: InFlightRequest,
    engine: EngineModel,
    sentAtMs: number,
  ): void {
    const nowMs = timeline.getNowMs();
    policy.detector?.recordFirstToken(engine.settings.name, nowMs - sentAtMs, nowMs);
    if (!inFlight.hasFirstToken() && inFlight.permit !== undefined) {
      policy.admission?.recordFirstToken(inFlight.permit, nowMs - sentAtMs, nowMs);
    }
    inFlight.recordFirstToken(nowMs);
  }

  function handleEnd(inFlight: InFlightRequest, engine: EngineModel, meanGapMs: number): void {
    const nowMs = timeline.getNowMs();
    policy.detector?.recordSuccess(engine.settings.name, nowMs);
    policy.recordEnd?.(engine.settings.name, nowMs);
    metrics.recordFinished(inFlight.buildFinished(meanGapMs, nowMs));
    inFlight.close();
    options.onRequestEnd(inFlight, inFlight.request.outputTokens);
  }

  function handleLost(
    inFlight: InFlightRequest,
    engine: EngineModel,
    generatedTokens: number,
  ): void {
    if (inFlight.hasEnded()) return;
    const nowMs = timeline.getNowMs();
    views.removeRequest(inFlight);
    inFlight.excludedEngines.add(engine.settings.name);
    inFlight.recordLoss(generatedTokens, engine.settings.gapMs, nowMs);
    const recomputedTokens = inFlight.request.promptTokens + inFlight.countEmittedTokens();
    if (generatedTokens > 0) metrics.recordWastedTokens(recomputedTokens, nowMs);
    const detectedAtMs = generatedTokens > 0 ? nowMs + BREAK_DETECTION_DELAY_MS : nowMs;
    timeline.addEvent(detectedAtMs, () => continueRequest(inFlight, engine.settings.name));
  }

  function continueRequest(inFlight: InFlightRequest, failedTarget: string): void {
    const nowMs = timeline.getNowMs();
    policy.detector?.recordFailure(failedTarget, nowMs);
    if (inFlight.hasEnded()) return;
    const isAllowed =
      inFlight.countEmittedTokens() > 0 || (policy.budget?.takeRetry(nowMs) ?? true);
    if (inFlight.countAttempts() >= MAX_ATTEMPTS || !isAllowed) {
      metrics.recordFailed(inFlight.request);
      inFlight.close();
      options.onRequestEnd(inFlight, inFlight.countEmittedTokens());
    } else if (inFlight.countEmittedTokens() === 0) {
      startRequest(inFlight);
    } else {
      delayContinuation(inFlight, nowMs);
    }
  }

  /**
   * Reserves a start time at the engine that would be chosen now. The engine is chosen again at that time,
   * from the state known by then.
   */
  function delayContinuation(inFlight: InFlightRequest, nowMs: number): void {
    const expectedEngine = chooseTarget(inFlight);
    if (expectedEngine === undefined || policy.pacer === undefined) {
      startRequest(inFlight);
      return;
    }
    const { name } = expectedEngine.settings;
    views.addRequest(inFlight, name);
    const costTokens = inFlight.request.promptTokens + inFlight.countEmittedTokens();
    const { startAtMs } = policy.pacer.reserveStart(nowMs, name, costTokens);
    timeline.addEvent(startAtMs, () => startRequest(inFlight));
  }

  return { startRequest };
}
