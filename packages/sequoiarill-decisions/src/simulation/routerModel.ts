/** Model of one router in virtual time: admission, queueing and measurements, as its policy defines them. */
import type { Permit, Ticket } from '../admissionTypes';
import * as Dispatchers from './dispatcher';
import type { EngineModel } from './engineModel';
import * as InFlightRequests from './inFlightRequest';
import type { LoadReports } from './loadReports';
import type { RouterPolicy } from './policies';
import type { SimulatedRequest } from './requestGenerator';
import * as RouterViews from './routerViews';
import type { SimulationMetrics } from './simulationMetrics';
import type { Timeline } from './timeline';

/** A caller that has not received its first token by then cancels its request. */
const FIRST_TOKEN_TIMEOUT_MS = 5_000;
const CAPACITY_UPDATE_INTERVAL_MS = 100;
const GAP_SAMPLE_INTERVAL_MS = 500;
const MAX_OUTPUT_TOKENS = 8_000;
const MODEL = 'model';
const UNLIMITED = { tokensPerSecond: 1e12, concurrentRequests: 1e12 };

export interface RouterOptions {
  readonly zone: string;
  readonly engines: readonly EngineModel[];
  readonly reports: LoadReports;
  readonly timeline: Timeline;
  readonly policy: RouterPolicy;
  readonly metrics: SimulationMetrics;
  readonly getFreeShare: () => number;
  /** Called when a request is refused, or cancelled by its caller before the first token. */
  readonly onRefused: (request: SimulatedRequest) => void;
}

export interface RouterModel {
  readonly handleRequest: (request: SimulatedRequest) => void;
}

export function createRouterModel(options: RouterOptions): RouterModel {
  const { engines, timeline, policy, metrics } = options;
  const views = RouterViews.createRouterViews(options);
  const waiting = new Map<Ticket, SimulatedRequest>();
  const dispatcher = Dispatchers.createDispatcher({
    ...options,
    views,
    onRequestEnd: handleRequestEnd,
  });

  function handleRequest(request: SimulatedRequest): void {
    policy.budget?.recordRequest(timeline.getNowMs());
    if (policy.admission === undefined) {
      startRequest(request, undefined);
      return;
    }
    const { organisation: name, weight, promptTokens } = request;
    const decision = policy.admission.admitRequest(
      {
        organisation: { name, weight, priority: 5, limits: UNLIMITED },
        model: MODEL,
        promptTokens,
        maxOutputTokens: MAX_OUTPUT_TOKENS,
      },
      timeline.getNowMs(),
    );
    if (decision.kind === 'admitted') startRequest(request, decision.permit);
    else if (decision.kind === 'refused') handleRefused(request);
    else addToQueue(request, decision.ticket);
  }

  function addToQueue(request: SimulatedRequest, ticket: Ticket): void {
    waiting.set(ticket, request);
    timeline.addEvent(ticket.deadlineMs, startWaiting);
    startWaiting();
  }

  function handleRefused(request: SimulatedRequest): void {
    const atMs = timeline.getNowMs();
    const waitedMs = atMs - request.arrivedMs;
    metrics.recordRefused({ request, atMs, waitedMs, freeShare: options.getFreeShare() });
    options.onRefused(request);
  }

  function startWaiting(): void {
    for (const { ticket, outcome } of policy.admission?.takeNext(timeline.getNowMs()) ?? []) {
      const request = waiting.get(ticket);
      waiting.delete(ticket);
      if (request !== undefined) {
        if (outcome.kind === 'admitted') startRequest(request, outcome.permit);
        else handleRefused(request);
      }
    }
  }

  function startRequest(request: SimulatedRequest, permit: Permit | undefined): void {
    const inFlight = InFlightRequests.createInFlightRequest(request, permit);
    timeline.addEvent(request.arrivedMs + FIRST_TOKEN_TIMEOUT_MS, () => {
      if (!inFlight.hasFirstToken() && !inFlight.hasEnded()) handleAbandoned(inFlight);
    });
    dispatcher.startRequest(inFlight);
  }

  function handleAbandoned(inFlight: InFlightRequests.InFlightRequest): void {
    metrics.recordWastedTokens(inFlight.cancel(), timeline.getNowMs());
    metrics.recordAbandoned(inFlight.request, FIRST_TOKEN_TIMEOUT_MS);
    handleRequestEnd(inFlight, inFlight.countEmittedTokens());
    options.onRefused(inFlight.request);
  }

  function handleRequestEnd(
    inFlight: InFlightRequests.InFlightRequest,
    outputTokens: number,
  ): void {
    views.removeRequest(inFlight);
    if (inFlight.permit === undefined) return;
    policy.admission?.releasePermit(inFlight.permit, { outputTokens }, timeline.getNowMs());
    startWaiting();
  }

  function recordGaps(): void {
    const nowMs = timeline.getNowMs();
    for (const engine of engines) {
      const streams = views.countInFlight(engine.settings.name);
      for (let count = 0; count < streams; count += 1) {
        policy.detector?.recordGap(engine.settings.name, engine.getGapMs(), nowMs);
      }
    }
    timeline.addEvent(nowMs + GAP_SAMPLE_INTERVAL_MS, recordGaps);
  }

  function updateCapacity(): void {
    const usable = views
      .listViews()
      .filter((view) => view.state === 'healthy' || view.state === 'new');
    const availableSlots = usable.reduce((sum, view) => sum + view.slots * view.warmShare, 0);
    const runningStreams = usable.reduce((sum, view) => sum + (view.reportedRunning ?? 0), 0);
    policy.admission?.setCapacity(
      MODEL,
      availableSlots,
      runningStreams / Math.max(1, availableSlots),
    );
    startWaiting();
    timeline.addEvent(timeline.getNowMs() + CAPACITY_UPDATE_INTERVAL_MS, updateCapacity);
  }

  if (policy.admission !== undefined) timeline.addEvent(0, updateCapacity);
  if (policy.detector !== undefined) timeline.addEvent(0, recordGaps);
  return { handleRequest };
}
