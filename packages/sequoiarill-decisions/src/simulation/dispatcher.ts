/** Sends flights to engines, hears how they end, and continues what was lost. */
import type { EngineModel } from './engineModel';
import type { Flight } from './inFlightRequest';
import type { Ledger } from './simulationMetrics';
import type { RouterPolicy } from './policies';
import type { RouterViews } from './routerViews';
import type { Timeline } from './timeline';

/** A broken stream is noticed after this time, milliseconds. */
const NOTICED_MS = 300;
const MAX_ATTEMPTS = 4;
const NO_TARGET_WAIT_MS = 500;

export interface DispatcherOptions {
  readonly zone: string;
  readonly engines: readonly EngineModel[];
  readonly timeline: Timeline;
  readonly policy: RouterPolicy;
  readonly ledger: Ledger;
  readonly views: RouterViews;
  /** The flight has ended, whichever way. */
  readonly onOver: (flight: Flight, outputTokens: number) => void;
}

export interface Dispatcher {
  readonly startFlight: (flight: Flight) => void;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { engines, timeline, policy, ledger, views } = options;

  function pickTarget(flight: Flight): EngineModel | undefined {
    const { request, excluded } = flight;
    const name = policy.chooseTarget({
      candidates: views.listViews(),
      zone: options.zone,
      prefixKeys: [`${request.prefixKey}+${request.arrivedMs}`, request.prefixKey],
      nowMs: timeline.getNowMs(),
      excluded,
      purpose: flight.getEmitted() > 0 ? 'continuation' : 'first',
      promptTokens: request.promptTokens + flight.getEmitted(),
    });
    return engines.find((engine) => engine.settings.name === name);
  }

  function startFlight(flight: Flight): void {
    if (flight.isOver()) return;
    const engine = pickTarget(flight);
    if (engine === undefined) {
      flight.excluded.clear();
      timeline.addEvent(timeline.getNowMs() + NO_TARGET_WAIT_MS, () => startFlight(flight));
      return;
    }
    sendFlight(flight, engine);
  }

  function sendFlight(flight: Flight, engine: EngineModel): void {
    const { request } = flight;
    const sentAtMs = timeline.getNowMs();
    views.addFlight(flight, engine.settings.name);
    const cancel = engine.startStream({
      promptTokens: request.promptTokens + flight.getEmitted(),
      sharedTokens: request.sharedTokens,
      prefixKey: request.prefixKey,
      isContinuation: flight.getEmitted() > 0,
      outputTokens: Math.max(1, request.outputTokens - flight.getEmitted()),
      onFirstToken: () => handleFirstToken(flight, engine, sentAtMs),
      onEnd: (meanGapMs) => handleEnd(flight, engine, meanGapMs),
      onLost: (generated) => handleLost(flight, engine, generated),
    });
    flight.recordSent(cancel);
  }

  function handleFirstToken(flight: Flight, engine: EngineModel, sentAtMs: number): void {
    const nowMs = timeline.getNowMs();
    policy.detector?.recordFirstToken(engine.settings.name, nowMs - sentAtMs, nowMs);
    if (!flight.hasFirstToken() && flight.permit !== undefined) {
      policy.admission?.recordFirstToken(flight.permit, nowMs - sentAtMs, nowMs);
    }
    flight.recordFirstToken(nowMs);
  }

  function handleEnd(flight: Flight, engine: EngineModel, meanGapMs: number): void {
    const nowMs = timeline.getNowMs();
    policy.detector?.recordSuccess(engine.settings.name, nowMs);
    policy.recordEnd?.(engine.settings.name, nowMs);
    ledger.recordFinished(flight.getFinished(meanGapMs, nowMs));
    flight.closeFlight();
    options.onOver(flight, flight.request.outputTokens);
  }

  function handleLost(flight: Flight, engine: EngineModel, generated: number): void {
    if (flight.isOver()) return;
    const nowMs = timeline.getNowMs();
    views.removeFlight(flight);
    flight.excluded.add(engine.settings.name);
    flight.recordLost(generated, engine.settings.gapMs, nowMs);
    const redoneTokens = flight.request.promptTokens + flight.getEmitted();
    if (generated > 0) ledger.recordWaste(redoneTokens, nowMs);
    const noticedAtMs = generated > 0 ? nowMs + NOTICED_MS : nowMs;
    timeline.addEvent(noticedAtMs, () => continueFlight(flight, engine.settings.name));
  }

  function continueFlight(flight: Flight, lostTarget: string): void {
    const nowMs = timeline.getNowMs();
    policy.detector?.recordFailure(lostTarget, nowMs);
    if (flight.isOver()) return;
    const isAllowed = flight.getEmitted() > 0 || (policy.budget?.takeRetry(nowMs) ?? true);
    if (flight.getAttempts() >= MAX_ATTEMPTS || !isAllowed) {
      ledger.recordFailed(flight.request);
      flight.closeFlight();
      options.onOver(flight, flight.getEmitted());
    } else if (flight.getEmitted() === 0) {
      startFlight(flight);
    } else {
      delayContinuation(flight, nowMs);
    }
  }

  /** The target is only expected: it is chosen again at the start, by what is known then. */
  function delayContinuation(flight: Flight, nowMs: number): void {
    const expected = pickTarget(flight);
    if (expected === undefined || policy.pacer === undefined) {
      startFlight(flight);
      return;
    }
    const { name } = expected.settings;
    views.addFlight(flight, name);
    const costTokens = flight.request.promptTokens + flight.getEmitted();
    const { startAtMs } = policy.pacer.reserveStart(nowMs, name, costTokens);
    timeline.addEvent(startAtMs, () => startFlight(flight));
  }

  return { startFlight };
}
