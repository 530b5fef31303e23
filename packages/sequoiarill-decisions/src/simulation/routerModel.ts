/** One router in virtual time: what it lets in, what waits, and what it measures, by its policy. */
import type { Permit, Ticket } from '../admissionTypes';
import * as Dispatchers from './dispatcher';
import type { EngineModel } from './engineModel';
import * as Flights from './inFlightRequest';
import type { Ledger } from './simulationMetrics';
import type { RouterPolicy } from './policies';
import type { Reports } from './loadReports';
import * as RouterViews from './routerViews';
import type { Timeline } from './timeline';
import type { PlayRequest } from './requestGenerator';

/** A caller without a first token leaves after this time, milliseconds. */
const PATIENCE_MS = 5_000;
const UPDATE_CAPACITY_MS = 100;
const SAMPLE_GAPS_MS = 500;
const MAX_OUTPUT_TOKENS = 8_000;
const MODEL = 'model';
const UNLIMITED = { tokensPerSecond: 1e12, concurrentRequests: 1e12 };

export interface RouterOptions {
  readonly zone: string;
  readonly engines: readonly EngineModel[];
  readonly reports: Reports;
  readonly timeline: Timeline;
  readonly policy: RouterPolicy;
  readonly ledger: Ledger;
  readonly getFreeShare: () => number;
  /** A caller that was refused or left without an answer. */
  readonly onRefused: (request: PlayRequest) => void;
}

export interface RouterModel {
  readonly handleRequest: (request: PlayRequest) => void;
}

export function createRouterModel(options: RouterOptions): RouterModel {
  const { engines, timeline, policy, ledger } = options;
  const views = RouterViews.createRouterViews(options);
  const waiting = new Map<Ticket, PlayRequest>();
  const dispatcher = Dispatchers.createDispatcher({ ...options, views, onOver: handleOver });

  function handleRequest(request: PlayRequest): void {
    policy.budget?.recordRequest(timeline.getNowMs());
    if (policy.admission === undefined) {
      startRequest(request, undefined);
      return;
    }
    const { organisation: name, weight, promptTokens } = request;
    const answer = policy.admission.admitRequest(
      {
        organisation: { name, weight, priority: 5, limits: UNLIMITED },
        model: MODEL,
        promptTokens,
        maxOutputTokens: MAX_OUTPUT_TOKENS,
      },
      timeline.getNowMs(),
    );
    if (answer.kind === 'admitted') startRequest(request, answer.permit);
    else if (answer.kind === 'refused') handleRefused(request);
    else addWaiting(request, answer.ticket);
  }

  function addWaiting(request: PlayRequest, ticket: Ticket): void {
    waiting.set(ticket, request);
    timeline.addEvent(ticket.deadlineMs, startWaiting);
    startWaiting();
  }

  function handleRefused(request: PlayRequest): void {
    const atMs = timeline.getNowMs();
    const waitedMs = atMs - request.arrivedMs;
    ledger.recordRefused({ request, atMs, waitedMs, freeShare: options.getFreeShare() });
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

  function startRequest(request: PlayRequest, permit: Permit | undefined): void {
    const flight = Flights.createFlight(request, permit);
    timeline.addEvent(request.arrivedMs + PATIENCE_MS, () => {
      if (!flight.hasFirstToken() && !flight.isOver()) handleAbandoned(flight);
    });
    dispatcher.startFlight(flight);
  }

  function handleAbandoned(flight: Flights.Flight): void {
    ledger.recordWaste(flight.cancelFlight(), timeline.getNowMs());
    ledger.recordAbandoned(flight.request, PATIENCE_MS);
    handleOver(flight, flight.getEmitted());
    options.onRefused(flight.request);
  }

  function handleOver(flight: Flights.Flight, outputTokens: number): void {
    views.removeFlight(flight);
    if (flight.permit === undefined) return;
    policy.admission?.releasePermit(flight.permit, { outputTokens }, timeline.getNowMs());
    startWaiting();
  }

  function recordGaps(): void {
    const nowMs = timeline.getNowMs();
    for (const engine of engines) {
      const streams = views.getInFlight(engine.settings.name);
      for (let count = 0; count < streams; count += 1) {
        policy.detector?.recordGap(engine.settings.name, engine.getGapMs(), nowMs);
      }
    }
    timeline.addEvent(nowMs + SAMPLE_GAPS_MS, recordGaps);
  }

  function updateCapacity(): void {
    const usable = views
      .listViews()
      .filter((view) => view.state === 'healthy' || view.state === 'new');
    const slots = usable.reduce((sum, view) => sum + view.slots * view.warmShare, 0);
    const taken = usable.reduce((sum, view) => sum + (view.reportedRunning ?? 0), 0);
    policy.admission?.setCapacity(MODEL, slots, taken / Math.max(1, slots));
    startWaiting();
    timeline.addEvent(timeline.getNowMs() + UPDATE_CAPACITY_MS, updateCapacity);
  }

  if (policy.admission !== undefined) timeline.addEvent(0, updateCapacity);
  if (policy.detector !== undefined) timeline.addEvent(0, recordGaps);
  return { handleRequest };
}
